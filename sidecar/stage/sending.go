package stage

import "time"

// Settings for serving chunks to other VMs.
const (
	// Uploads is the number of chunks sent concurrently. When chunks are sent one at a time,
	// each is complete at its receiver, and can be passed on, as early as the link permits.
	Uploads = 1
	// QueuedUploads is the number of requests that wait while a chunk is sent. Further requests
	// are rejected immediately, so that the requester can get this or another chunk elsewhere.
	QueuedUploads = 2
	// PaceShare is the share of the VM's link that chunk transfers may use. The remainder is
	// reserved for requests.
	PaceShare = 0.85
	// Coalescing is how long announcements of new chunks are coalesced before they are sent to
	// other VMs: about half the transfer time of a chunk, so that a chunk is passed on soon
	// after it arrives.
	Coalescing = 20 * time.Millisecond
)
