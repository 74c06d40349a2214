package controller

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"umberpaddle/internal/limits"
)

// Peer is the net/rpc service that controllers offer each other.
type Peer struct{ s *Server }

// Tell takes a message and answers it.
func (p *Peer) Tell(m PeerMessage, answer *PeerAnswer) error {
	a, ok := p.s.ask(func(ref uint64) Input { return PeerRequest{ref, m} }, limits.PeerTimeout)
	if !ok {
		return errors.New("no answer from the loop")
	}
	*answer, _ = a.Body.(PeerAnswer)
	return nil
}

// LinksRequest asks a controller what it knows of links.
type LinksRequest struct{}

// ErrLinksOff tells that the operators' file of the asked controller has not switched on the view
// of links.
var ErrLinksOff = errors.New("the view of links is not switched on")

// Links tells an operator what this controller knows of links.
func (p *Peer) Links(_ LinksRequest, reply *LinksReply) error {
	a, ok := p.s.ask(func(ref uint64) Input { return LinksQuery{ref} }, limits.PeerTimeout)
	if !ok {
		return errors.New("no answer from the loop")
	}
	known, on := a.Body.(LinksReply)
	if !on {
		return ErrLinksOff
	}
	*reply = known
	return nil
}

// AskLinks asks the controller at a peer address what it knows of links.
func AskLinks(address string, timeout time.Duration) (reply LinksReply, err error) {
	conn, err := net.DialTimeout("tcp4", address, timeout)
	if err != nil {
		return reply, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return reply, err
	}
	err = rpc.NewClient(conn).Call("Peer.Links", LinksRequest{}, &reply)
	return reply, err
}

func (s *Server) servePeers(l net.Listener) {
	server := rpc.NewServer()
	if err := server.Register(&Peer{s}); err != nil {
		s.log.Error("peer service", "error", err)
		return
	}
	for {
		c, err := l.Accept()
		if err != nil {
			if s.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(limits.TickInterval)
			continue
		}
		go server.ServeConn(c)
	}
}

// peer is the connection to another controller; one call at a time.
type peer struct {
	addr   string
	mu     sync.Mutex
	client *rpc.Client
	calls  int
}

func (p *peer) call(m PeerMessage) (answer PeerAnswer, err error) {
	p.mu.Lock()
	if p.calls >= limits.PeerCalls {
		p.mu.Unlock()
		return answer, errors.New("peer is slow")
	}
	p.calls++
	defer func() { p.mu.Lock(); p.calls--; p.mu.Unlock() }()
	if p.client == nil {
		p.mu.Unlock()
		c, err := net.DialTimeout("tcp4", p.addr, limits.PeerTimeout)
		if err != nil {
			return answer, err
		}
		p.mu.Lock()
		if p.client == nil {
			p.client = rpc.NewClient(c)
		} else {
			c.Close()
		}
	}
	client := p.client
	p.mu.Unlock()
	into := new(PeerAnswer)
	done := client.Go("Peer.Tell", m, into, make(chan *rpc.Call, 1)).Done
	t := time.NewTimer(limits.PeerTimeout)
	defer t.Stop()
	select {
	case call := <-done:
		err = call.Error
	case <-t.C:
		// The late answer writes to a variable that nobody reads any more.
		err = errors.New("no answer")
	}
	if err != nil {
		p.mu.Lock()
		if p.client == client {
			p.client = nil
		}
		p.mu.Unlock()
		client.Close()
		return PeerAnswer{}, err
	}
	return *into, nil
}

func (s *Server) callPeer(x PeerCall, asker *Core) {
	p := s.peers[x.Peer]
	if p == nil {
		return
	}
	answer, err := p.call(x.Msg)
	if err != nil {
		s.log.Debug("peer not reached", "peer", x.Peer, "error", err)
	}
	s.send(inboxEvent{in: PeerReply{Call: x, Answer: answer, Unanswered: err != nil}, asker: asker})
}
