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

// Tell takes a message and says yes or no to it.
func (p *Peer) Tell(m PeerMessage, yes *bool) error {
	a, ok := p.s.ask(func(ref uint64) any { return PeerRequest{ref, m} }, limits.PeerTimeout)
	if !ok {
		return errors.New("no answer from the loop")
	}
	*yes, _ = a.Body.(bool)
	return nil
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
			time.Sleep(limits.TickEvery)
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

func (p *peer) call(m PeerMessage) (yes bool, err error) {
	p.mu.Lock()
	if p.calls >= limits.PeerCalls {
		p.mu.Unlock()
		return false, errors.New("peer is slow")
	}
	p.calls++
	defer func() { p.mu.Lock(); p.calls--; p.mu.Unlock() }()
	if p.client == nil {
		p.mu.Unlock()
		c, err := net.DialTimeout("tcp4", p.addr, limits.PeerTimeout)
		if err != nil {
			return false, err
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
	done := client.Go("Peer.Tell", m, &yes, make(chan *rpc.Call, 1)).Done
	t := time.NewTimer(limits.PeerTimeout)
	defer t.Stop()
	select {
	case call := <-done:
		err = call.Error
	case <-t.C:
		// The late answer writes to a variable that nobody reads any more.
		yes, err = false, errors.New("no answer")
	}
	if err != nil {
		p.mu.Lock()
		if p.client == client {
			p.client = nil
		}
		p.mu.Unlock()
		client.Close()
		return false, err
	}
	return yes, nil
}

func (s *Server) callPeer(x PeerCall) {
	p := s.peers[x.Peer]
	if p == nil {
		return
	}
	yes, err := p.call(x.Msg)
	if err != nil {
		s.log.Debug("peer not reached", "peer", x.Peer, "error", err)
		yes = false
	}
	if x.Msg.Promise || x.Msg.Probe || x.Msg.Visited {
		s.send(event{in: PeerReply{Peer: x.Peer, Sent: x.Sent, Probe: x.Msg.Probe, Visited: x.Msg.Visited, Yes: yes}})
	}
}
