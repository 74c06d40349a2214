package controller

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"umberpaddle/internal/limits"
)

// Peer is the net/rpc service through which other controllers call this one.
type Peer struct{ server *Server }

// Tell passes a peer's message to the core and returns the core's answer.
func (p *Peer) Tell(message PeerMessage, answer *PeerAnswer) error {
	coreAnswer, ok := p.server.callCore(func(ref uint64) Input { return PeerRequest{ref, message} }, limits.PeerTimeout)
	if !ok {
		return errors.New("no answer from the loop")
	}
	*answer, _ = coreAnswer.Body.(PeerAnswer)
	return nil
}

// LinksRequest is a request for a controller's view of the links.
type LinksRequest struct{}

// ErrLinksDisabled is returned by a controller whose operator settings do not enable link monitoring.
var ErrLinksDisabled = errors.New("the view of links is not switched on")

// Links returns this controller's view of the links. The links command calls it.
func (p *Peer) Links(_ LinksRequest, reply *LinksReply) error {
	answer, ok := p.server.callCore(func(ref uint64) Input { return LinksQuery{ref} }, limits.PeerTimeout)
	if !ok {
		return errors.New("no answer from the loop")
	}
	links, enabled := answer.Body.(LinksReply)
	if !enabled {
		return ErrLinksDisabled
	}
	*reply = links
	return nil
}

// FetchLinks requests the view of the links from the controller at a peer address.
func FetchLinks(address string, timeout time.Duration) (reply LinksReply, err error) {
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

// servePeers accepts connections from peers and serves their calls until the server stops.
func (s *Server) servePeers(listener net.Listener) {
	server := rpc.NewServer()
	if err := server.Register(&Peer{s}); err != nil {
		s.log.Error("cannot register the peer service", "error", err)
		return
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(limits.TickInterval)
			continue
		}
		go server.ServeConn(conn)
	}
}

// peerClient makes calls to another controller. All calls share one connection. A failed call closes the
// connection, and the next call opens a new one. At most limits.MaxPeerCalls calls are in progress at a
// time.
type peerClient struct {
	addr         string
	mu           sync.Mutex
	client       *rpc.Client
	pendingCalls int
}

// call sends a message to the peer and returns its answer.
func (p *peerClient) call(message PeerMessage) (answer PeerAnswer, err error) {
	p.mu.Lock()
	if p.pendingCalls >= limits.MaxPeerCalls {
		p.mu.Unlock()
		return answer, errors.New("too many calls to the peer are in progress")
	}
	p.pendingCalls++
	defer func() { p.mu.Lock(); p.pendingCalls--; p.mu.Unlock() }()
	if p.client == nil {
		p.mu.Unlock()
		conn, err := net.DialTimeout("tcp4", p.addr, limits.PeerTimeout)
		if err != nil {
			return answer, err
		}
		p.mu.Lock()
		if p.client == nil {
			p.client = rpc.NewClient(conn)
		} else {
			conn.Close()
		}
	}
	client := p.client
	p.mu.Unlock()
	result := new(PeerAnswer)
	callDone := client.Go("Peer.Tell", message, result, make(chan *rpc.Call, 1)).Done
	timeout := time.NewTimer(limits.PeerTimeout)
	defer timeout.Stop()
	select {
	case call := <-callDone:
		err = call.Error
	case <-timeout.C:
		// An answer that arrives later is written to result, which is not read after a timeout.
		err = errors.New("no answer from the peer within the timeout")
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
	return *result, nil
}

// callPeer makes a call to a peer and queues the result for the event loop as a PeerReply. caller is the
// core that requested the call.
func (s *Server) callPeer(call PeerCall, caller *Core) {
	client := s.peers[call.Peer]
	if client == nil {
		return
	}
	answer, err := client.call(call.Msg)
	if err != nil {
		s.log.Debug("call to a peer failed", "peer", call.Peer, "error", err)
	}
	s.enqueueEvent(inboxEvent{input: PeerReply{Call: call, Answer: answer, Unanswered: err != nil}, caller: caller})
}
