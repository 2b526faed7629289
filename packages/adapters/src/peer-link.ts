/** Links between controllers. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import {
  PeerDecoder,
  packBody,
  packPeer,
  unpackBody,
  type PeerMessage,
  type LeaderBroadcast,
  type PeerHeartbeat,
} from '@tealdock/wire';
import type { Call, CallResult, Log } from '@tealdock/controller';
import { splitAddress } from './http-client.js';
import { listen } from './listen.js';

const RECONNECT = 1000;
const CONNECT_TIMEOUT = 2000;
/** A peer sends a heartbeat every second; a link without anything for this long is cut. */
const SILENCE = 5000;
const MOST_BUFFERED = 512 * 1024;

/** What is heard from the other controllers. */
export interface PeerEvents {
  heartbeat(message: PeerHeartbeat): void;
  broadcast(message: LeaderBroadcast): void;
  refused(member: string): void;
  ask(
    message: Extract<PeerMessage, { kind: 'ask' }>,
    respond: (status: number, body: unknown) => void,
  ): void;
}

/**
 * Links between controllers: Avro records over `net`. Each node dials every peer
 * and speaks on the connection it dialled; answers return the same way.
 */
export class PeerLink {
  private readonly server: Server;
  private readonly sockets = new Map<string, Socket>();
  private readonly waiting = new Map<number, (result: CallResult) => void>();
  private lastAsk = 0;

  constructor(
    private readonly peers: { member: string; address: string }[],
    private readonly events: PeerEvents,
    private readonly log: Log,
  ) {
    this.server = createServer((socket) => this.read(socket));
    this.server.maxConnections = 64;
  }

  listen(address: string, failed: (error: Error) => void): void {
    listen(this.server, address, () => undefined, failed);
    for (const peer of this.peers) this.dial(peer);
  }

  heartbeat(heartbeat: PeerHeartbeat): void {
    const frame = packPeer(heartbeat);
    for (const socket of this.sockets.values()) this.write(socket, frame);
  }

  broadcast(message: LeaderBroadcast): void {
    const frame = packPeer(message);
    for (const socket of this.sockets.values()) this.write(socket, frame);
  }

  ask(call: Call, done: (result: CallResult) => void): void {
    const socket = this.sockets.get(call.to);
    if (!socket) return done({ kind: 'unsent' });
    const id = ++this.lastAsk;
    const timer = setTimeout(() => this.settle(id, { kind: 'lost' }), call.timeout);
    this.waiting.set(id, (result) => {
      clearTimeout(timer);
      done(result);
    });
    const { method, path } = call;
    this.write(socket, packPeer({ kind: 'ask', id, method, path, body: call.body as Buffer }));
  }

  private settle(id: number, result: CallResult): void {
    const done = this.waiting.get(id);
    this.waiting.delete(id);
    done?.(result);
  }

  private write(socket: Socket, frame: Buffer): void {
    if (socket.destroyed) return;
    if (socket.writableLength > MOST_BUFFERED) socket.destroy();
    else socket.write(frame);
  }

  private dial(peer: { member: string; address: string }): void {
    const { host, port } = splitAddress(peer.address);
    const socket = connect({ host, port, noDelay: true });
    const giveUp = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT);
    socket.on('connect', () => {
      clearTimeout(giveUp);
      this.sockets.set(peer.member, socket);
      this.log('debug', { peer: peer.member }, 'peer connected');
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') this.events.refused(peer.member);
    });
    socket.on('close', () => {
      clearTimeout(giveUp);
      if (this.sockets.get(peer.member) === socket) this.sockets.delete(peer.member);
      setTimeout(() => this.dial(peer), RECONNECT);
    });
    this.read(socket, peer.member);
  }

  /** Frames from either side; only accepted connections get heartbeats, so one without any is closed. */
  private read(socket: Socket, dialled?: string): void {
    const decoder = new PeerDecoder();
    if (dialled === undefined) socket.setTimeout(SILENCE, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => {
      try {
        for (const message of decoder.push(chunk)) this.take(socket, message);
      } catch (error) {
        this.log('info', { error: String(error) }, 'malformed peer message');
        socket.destroy();
      }
    });
  }

  private take(socket: Socket, message: PeerMessage): void {
    if (message.kind === 'heartbeat') this.events.heartbeat(message);
    else if (message.kind === 'counts' || message.kind === 'hints') this.events.broadcast(message);
    else if (message.kind === 'answer') {
      const body = message.body.length > 0 ? unpackBody(message.body) : null;
      this.settle(message.id, { kind: 'answer', status: message.status, body });
    } else {
      this.events.ask(message, (status, body) =>
        this.write(
          socket,
          packPeer({ kind: 'answer', id: message.id, status, body: packBody(body) }),
        ),
      );
    }
  }
}
