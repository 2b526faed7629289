/** One direction of dialling between two controllers, which can be held up or reset. */
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { LOOPBACK } from './loopback.js';

/**
 * Passes connections on to a port. While it is held, bytes and new connections wait, and go on
 * in order once it is released, as packets do after a cut.
 */
export class TcpLink {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private waiting: (() => void)[] = [];
  private held = false;

  constructor(private readonly targetPort: number) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** The port to dial. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, LOOPBACK, resolve));
    return (this.server.address() as AddressInfo).port;
  }

  hold(): void {
    this.held = true;
    for (const socket of this.sockets) socket.pause();
  }

  release(): void {
    this.held = false;
    for (const socket of this.sockets) socket.resume();
    for (const go of this.waiting.splice(0)) go();
  }

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
    if (this.held) this.waiting.push(() => this.join(incoming));
    else this.join(incoming);
  }

  private join(incoming: Socket): void {
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
