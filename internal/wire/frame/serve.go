package frame

import (
	"context"
	"net"
	"net/rpc"
)

// Serve answers calls of the methods of receiver on l until l is closed.
// Connections end with ctx.
func Serve(ctx context.Context, l net.Listener, name string, receiver any) error {
	server := rpc.NewServer()
	if err := server.RegisterName(name, receiver); err != nil {
		return err
	}

	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}

		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })

		go func() {
			server.ServeCodec(serverCodec{newFrames(conn)})
			stop()
		}()
	}
}
