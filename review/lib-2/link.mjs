/** A TCP proxy on loopback that can hold what it carries and deliver it later, or reset it. */
import { connect, createServer } from 'node:net';

/** Carries connections to an address. */
export class Link {
  isHeld = false;
  /** @type {Set<import('node:net').Socket>} */
  sockets = new Set();
  /** What waits for the end of the hold, in order. @type {(() => void)[]} */
  waiting = [];
  address = '';

  /** @param {string} target */
  constructor(target) {
    this.target = target;
    this.server = createServer((socket) => this.accept(socket));
  }

  async listen(host = '127.0.0.1') {
    await new Promise((resolve) => this.server.listen(0, host, () => resolve(null)));
    const { port } = /** @type {import('node:net').AddressInfo} */ (this.server.address());
    this.address = `${host}:${port}`;
    return this.address;
  }

  hold() {
    this.isHeld = true;
  }

  /** Delivers all that was held, in order. */
  release() {
    this.isHeld = false;
    for (const deliver of this.waiting.splice(0)) deliver();
  }

  reset() {
    this.waiting = [];
    for (const socket of this.sockets) socket.destroy();
  }

  close() {
    this.reset();
    this.server.close();
  }

  /** Runs now, or once the hold is over. @param {() => void} deliver */
  pass(deliver) {
    if (this.isHeld) this.waiting.push(deliver);
    else deliver();
  }

  /** @param {import('node:net').Socket} incoming */
  accept(incoming) {
    this.track(incoming);
    /** @type {import('node:net').Socket | null} */
    let outgoing = null;
    let isClosed = false;
    // A connection attempt that was given up during a hold does not complete later.
    this.pass(() => {
      if (isClosed) return;
      const [host, port] = this.target.split(':');
      outgoing = this.track(connect({ host, port: Number(port), noDelay: true }));
      this.carry(outgoing, () => incoming);
    });
    incoming.on('close', () => (isClosed = true));
    this.carry(incoming, () => outgoing);
  }

  /**
   * @param {import('node:net').Socket} from
   * @param {() => import('node:net').Socket | null} to
   */
  carry(from, to) {
    from.on('data', (chunk) => this.pass(() => to()?.write(chunk)));
    from.on('close', () => this.pass(() => to()?.end()));
  }

  /** @param {import('node:net').Socket} socket */
  track(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
    return socket;
  }
}
