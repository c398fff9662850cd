package stage_test
import ("testing";"testing/synctest";"time";"io";"os";"fmt";"sync"
"github.com/silverdeck/silverdeck/swarm")
func TestDebug(t *testing.T){
 x:=stories[0]
 for _,y:=range stories{ if y.name==os.Getenv("STORY"){x=y}}
 var mu sync.Mutex
 synctest.Test(t,func(t *testing.T){
  seen:=map[int]int{}
  began:=time.Now()
  swarm.DebugRead=func(self swarm.Member,c,rank int,home bool,due,at,start time.Duration,postponed int){
    mu.Lock();defer mu.Unlock()
    seen[c]++
    fmt.Printf("R %8.3f chunk %2d n=%d %s/%s rank %d home %v due %.3f originAt %.3f start %.3f post %d\n",time.Since(began).Seconds(),c,seen[c],self.Region,self.VM,rank,home,due.Seconds(),at.Seconds(),start.Seconds(),postponed)
  }
  f:=newStagedFleet(x,io.Writer(os.Stdout)); f.play(t, x.bounds()[len(x.bounds())-1]+6*time.Second)
  for i:=range x.named{ a,b,c:=f.times(int64(i+2)); fmt.Println("V",i+2,a,b,c)}
 })
}
