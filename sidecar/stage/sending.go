package stage

import "time"

// How a VM sends chunks to others.
const (
	// Uploads is how many chunks are sent at once. One after the other, each is whole
	// elsewhere, and handed on there, as soon as the link allows.
	Uploads = 1
	// QueuedUploads is how many requests wait behind a chunk that is sent. Who would wait
	// longer is refused at once, and finds the chunk or another one elsewhere.
	QueuedUploads = 2
	// PaceShare is the part of the VM's link that chunks may take; the rest is for
	// requests.
	PaceShare = 0.85
	// Coalescing is how long news of chunks is coalesced before other VMs hear it: about
	// half of what a chunk takes, so that it is on its way on soon after it came.
	Coalescing = 20 * time.Millisecond
)
