/** A TCP proxy for the connections from one controller to another; it can stall or reset them. */
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { LOOPBACK } from './loopback.js';

/**
 * Forwards connections to a port. While the link is stalled, bytes and new connections are
 * buffered. They are delivered in order once it resumes, as after a network partition.
 */
export class TcpLink {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private pendingConnections: (() => void)[] = [];
  private stalled = false;

  constructor(private readonly targetPort: number) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts listening; returns the port to dial. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, LOOPBACK, resolve));
    return (this.server.address() as AddressInfo).port;
  }

  stall(): void {
    this.stalled = true;
    for (const socket of this.sockets) socket.pause();
  }

  resume(): void {
    this.stalled = false;
    for (const socket of this.sockets) socket.resume();
    for (const openConnection of this.pendingConnections.splice(0)) openConnection();
  }

  /** Closes all connections; new ones can be opened. */
  reset(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  close(): void {
    this.reset();
    this.server.close();
  }

  private accept(incoming: Socket): void {
    this.track(incoming);
    incoming.pause();
    if (this.stalled) this.pendingConnections.push(() => this.openOutgoing(incoming));
    else this.openOutgoing(incoming);
  }

  private openOutgoing(incoming: Socket): void {
    if (incoming.destroyed) return;
    const outgoing = this.track(connect(this.targetPort, LOOPBACK));
    this.forward(incoming, outgoing);
    this.forward(outgoing, incoming);
    incoming.resume();
  }

  private forward(from: Socket, to: Socket): void {
    from.on('data', (chunk) => to.write(chunk));
    from.on('close', () => to.destroy());
  }

  private track(socket: Socket): Socket {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
    return socket;
  }
}
