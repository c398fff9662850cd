package stage_test
import ("testing";"testing/synctest";"time";"io";"fmt";"os";"slices")
func TestDebugTail(t *testing.T){
 x:=stories[0]
 for _,y:=range stories{ if y.name==os.Getenv("STORY"){x=y}}
 synctest.Test(t,func(t *testing.T){
  f:=newStagedFleet(x,io.Discard)
  roots:=f.roots()
  at:=map[string]map[int]time.Duration{}
  began:=time.Now()
  go func(){ for time.Since(began)<x.bounds()[len(x.bounds())-1]+6*time.Second {
    time.Sleep(5*time.Millisecond)
    for n,v:=range f.vms { sets,ok:=v.holdings.Load().(heldSets); if !ok {continue}
      h,ok:=sets.Holdings.(*stagerHoldings); if !ok||h.roots==nil {continue}
      s:=sets.Set(roots[2]); if s==nil {continue}
      if at[n]==nil{at[n]=map[int]time.Duration{}}
      for c:=range f.site.chunks { if _,k:=at[n][c];!k && s.Get(c)!=nil {at[n][c]=time.Since(began)} } } } }()
  f.play(t, x.bounds()[len(x.bounds())-1]+6*time.Second)
  for c:=range f.site.chunks {
    reg:=map[string][]time.Duration{}
    var all []time.Duration
    for n,m:=range at { d,k:=m[c]; if !k {d=time.Hour}; r:=f.vms[n].member.Region; reg[r]=append(reg[r],d); all=append(all,d)}
    slices.Sort(all)
    if all[0]<time.Duration(7.5*1e9) && os.Getenv("ALL")=="" {continue}
    s:=fmt.Sprintf("C %2d first %.2f half %.2f last %.2f |",c,all[0].Seconds(),all[len(all)/2].Seconds(),all[len(all)-1].Seconds())
    for _,r:=range []string{"a","b","c"} { l:=reg[r]; slices.Sort(l); s+=fmt.Sprintf(" %s %.2f %.2f %.2f",r,l[0].Seconds(),l[len(l)/2].Seconds(),l[len(l)-1].Seconds()) }
    fmt.Println(s)
  }
 })
}
