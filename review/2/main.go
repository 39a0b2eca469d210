// Case 2: an upgrade while servers hang, and the old process is held up shortly before its end.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"review/rig"
)

const (
	rounds   = 3
	servers  = 4
	hanging  = 2                    // of the servers: a quarter to a half
	interval = 7 * time.Millisecond // between two requests: 140 a second
	calm     = time.Second          // before the upgrade
	budget   = 4 * time.Second      // of book, which is the longest deadline
	minWork  = 95 * time.Millisecond
	maxWork  = 160 * time.Millisecond
	holdFrom = budget - 120*time.Millisecond // after SIGTERM
	holdFor  = 150 * time.Millisecond
	killAt   = budget + 700*time.Millisecond // SIGKILL after SIGTERM
	late     = 550 * time.Millisecond        // after its time an answer is lost: 0.5 s, and 50 ms on sockets
)

func main() { os.Exit(run()) }

func run() int {
	rig.Guard()
	dir := os.Getenv("REVIEW_CASE")
	record, err := rig.NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer record.Close()
	lost := 0
	for round := 1; round <= rounds; round++ {
		n, err := upgrade(round, dir, record)
		if err != nil {
			return record.NotRun(err)
		}
		lost += n
	}
	record.Say("upgrades %d, requests that ran and got no answer %d", rounds, lost)
	if lost > 0 {
		return rig.Broken
	}
	return rig.Held
}

// A play is one upgrade.
type play struct {
	record *rig.Record
	hang   chan struct{} // closed when servers begin to hang

	mu       sync.Mutex
	ran      map[string]bool // requests that had come whole to a server, by X-Call-Id
	answered map[string]int
	silent   []string // requests whose connection ended, or whose time ran out, with no answer
}

// upgrade plays one upgrade, and returns how many requests ran and got no answer.
func upgrade(round int, dir string, record *rig.Record) (lost int, err error) {
	p := &play{record: record, hang: make(chan struct{}), ran: map[string]bool{}, answered: map[string]int{}}
	var addrs []string
	for i := range servers {
		s := &rig.Server{Name: fmt.Sprintf("s-%c", 'a'+i), Began: p.began}
		s.Answer = func(c *rig.Conn, r *rig.Request) bool { return p.answer(c, r, i < hanging) }
		if err := s.Listen(); err != nil {
			return 0, err
		}
		addrs = append(addrs, s.Addr)
	}
	discovery, err := rig.StartDiscovery(addrs...)
	if err != nil {
		return 0, err
	}
	limiter, err := rig.Start(rig.Options{
		Discovery: discovery.Addr, Classes: []map[string]any{rig.Book}, MemoryMB: 192, Sockets: 1024,
	}, filepath.Join(dir, "limiter.log"))
	if limiter != nil {
		defer limiter.Stop()
	}
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { p.sendUntil(stop, limiter.Addr, &clients) })
	time.Sleep(calm)
	close(p.hang)
	record.Line("round=%d %d of %d servers hang; the second process starts", round, hanging, servers)
	successor, err := limiter.StartSuccessor(filepath.Join(dir, "limiter-2.log"))
	if successor != nil {
		defer successor.Stop()
	}
	if err == nil {
		p.endPredecessor(limiter)
	}
	close(stop)
	clients.Wait()
	if err != nil {
		return 0, err
	}
	return p.lost(round), nil
}

// endPredecessor sends the old process SIGTERM, as the new one has said yes, and SIGKILL in its time.
func (p *play) endPredecessor(limiter *rig.Limiter) {
	toldAt := time.Now()
	limiter.Signal(syscall.SIGTERM)
	p.record.Line("the second process says yes; SIGTERM to the first")
	time.Sleep(time.Until(toldAt.Add(holdFrom)))
	if rig.Trouble() {
		limiter.Signal(syscall.SIGSTOP)
		p.record.Line("the first process is held up")
		time.Sleep(holdFor)
		limiter.Signal(syscall.SIGCONT)
		p.record.Line("the first process goes on")
	}
	time.Sleep(time.Until(toldAt.Add(killAt)))
	p.record.Line("the first process has ended: %v; SIGKILL if not", limiter.Ended())
	limiter.Signal(syscall.SIGKILL)
}

func (p *play) began(r *rig.Request) {
	p.record.Line("ran id=%s server=%s", r.CallID, r.Server)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ran[r.CallID] = true
}

// answer answers a request, or hangs with it.
func (p *play) answer(c *rig.Conn, r *rig.Request, hangs bool) bool {
	select {
	case <-p.hang:
		if hangs {
			time.Sleep(3 * budget)
			return false
		}
	default:
	}
	time.Sleep(minWork + rand.N(maxWork-minWork))
	return c.Write200("reserved for " + r.CallID)
}

// sendUntil sends requests at a steady rate, whatever becomes of them.
func (p *play) sendUntil(stop chan struct{}, addr string, clients *sync.WaitGroup) {
	pool := &rig.Pool{Addr: addr}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for customer := 0; ; customer = (customer + 1) % 40 {
		select {
		case <-stop:
			return
		case <-tick.C:
			clients.Go(func() { p.send(pool, customer+1) })
		}
	}
}

func (p *play) send(pool *rig.Pool, customer int) {
	id := rig.NewID()
	p.record.Line("sent id=%s", id)
	c := pool.Take()
	status, body, err := c.Once(rig.Post("book", id, "", customer, budget, "load 7"), budget+late)
	p.record.Line("answered id=%s status=%d err=%v", id, status, err)
	if err == nil {
		pool.Give(c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		p.silent = append(p.silent, id)
	case status == http.StatusOK && body != "reserved for "+id:
		p.silent = append(p.silent, id)
	default:
		p.answered[http.StatusText(status)]++
	}
}

// lost returns how many requests ran and got no answer. A request that did not come to a server is not counted: the
// close of its connection may have crossed it unread.
func (p *play) lost(round int) (lost int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.silent {
		if p.ran[id] {
			lost++
			p.record.Line("LOST id=%s", id)
		}
	}
	p.record.Say("round %d: answered %v; no answer %d, of which had run %d", round, p.answered, len(p.silent), lost)
	return lost
}
