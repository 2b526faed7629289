/** Connections between controllers. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import {
  PeerDecoder,
  packBody,
  packBroadcast,
  packPeerMessage,
  unpackBody,
  type LeaderBroadcast,
  type PeerHeartbeat,
  type PeerMessage,
} from '@tealdock/wire';
import type { Call, CallResult, Log } from '@tealdock/controller';
import { splitAddress } from './http-client.js';
import { listen, type ListenError } from './listen.js';
import { MemoryBudget } from './memory-budget.js';

const RECONNECT_INTERVAL_MS = 1000;
const CONNECT_TIMEOUT_MS = 2000;
/** A silent connection is closed after this long; a peer sends a heartbeat every second. */
const SILENCE_TIMEOUT_MS = 5000;
/** A connection with more unsent data than this is closed, since its peer does not read. */
const MAX_BUFFERED_BYTES = 512 * 1024;
const MAX_SOCKET_COUNT = 64;
/** Limit of the memory of all peers' requests that have not been answered yet. */
const MAX_HELD_REQUEST_BYTES = 4 * 1024 * 1024;
/** Memory of a request beside its body and path. */
const REQUEST_OVERHEAD_BYTES = 1024;
const BUSY_STATUS = 503;

type PeerRequest = Extract<PeerMessage, { kind: 'ask' }>;

/** Callbacks for messages and events from the other controllers. */
export interface PeerEvents {
  onHeartbeat(message: PeerHeartbeat): void;
  onBroadcast(message: LeaderBroadcast): void;
  /** Nothing listens on the peer's address: its process is surely not running. */
  onConnectionRefused(member: string): void;
  onRequest(request: PeerRequest, respond: (status: number, body: unknown) => void): void;
}

/**
 * Connections between controllers: Avro records over TCP. Each node dials every peer and sends
 * its messages on the connection that it dialled; answers return on the same connection.
 */
export class PeerLink {
  private readonly server: Server;
  /** The established connections that this node dialled, by member. */
  private readonly sockets = new Map<string, Socket>();
  /** Callbacks of the requests that have no answer yet, by request id. */
  private readonly pending = new Map<number, (result: CallResult) => void>();
  private lastRequestId = 0;
  private readonly requestMemory = new MemoryBudget(MAX_HELD_REQUEST_BYTES);

  constructor(
    private readonly peers: { member: string; address: string }[],
    private readonly events: PeerEvents,
    private readonly log: Log,
  ) {
    this.server = createServer((socket) => this.receiveFrom(socket));
    this.server.maxConnections = MAX_SOCKET_COUNT;
  }

  /** Listens on an address in the form `host:port`, and stays connected to all peers. */
  listen(address: string, onFailure: (error: ListenError) => void): void {
    listen(this.server, address, { onListening: () => undefined, onFailure });
    for (const peer of this.peers) this.dial(peer);
  }

  /** Sends a message to all connected peers. */
  send(message: PeerHeartbeat | LeaderBroadcast): void {
    const frame = message.kind === 'heartbeat' ? packPeerMessage(message) : packBroadcast(message);
    for (const socket of this.sockets.values()) this.write(socket, frame);
  }

  /** Sends a call to the peer `call.to`; `onResult` is called exactly once. */
  request(call: Call, onResult: (result: CallResult) => void): void {
    const socket = this.sockets.get(call.to);
    if (!socket) return onResult({ kind: 'unsent' });
    const id = ++this.lastRequestId;
    const timer = setTimeout(() => this.settle(id, { kind: 'lost' }), call.timeout);
    this.pending.set(id, (result) => {
      clearTimeout(timer);
      onResult(result);
    });
    const { method, path } = call;
    this.write(
      socket,
      packPeerMessage({ kind: 'ask', id, method, path, body: call.body as Buffer }),
    );
  }

  private settle(id: number, result: CallResult): void {
    const onResult = this.pending.get(id);
    this.pending.delete(id);
    onResult?.(result);
  }

  private write(socket: Socket, frame: Buffer): void {
    if (socket.destroyed) return;
    if (socket.writableLength > MAX_BUFFERED_BYTES) socket.destroy();
    else socket.write(frame);
  }

  private dial(peer: { member: string; address: string }): void {
    const { host, port } = splitAddress(peer.address);
    const socket = connect({ host, port, noDelay: true });
    const connectTimer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(connectTimer);
      this.sockets.set(peer.member, socket);
      this.log('debug', { peer: peer.member }, 'peer connected');
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') this.events.onConnectionRefused(peer.member);
    });
    socket.on('close', () => {
      clearTimeout(connectTimer);
      if (this.sockets.get(peer.member) === socket) this.sockets.delete(peer.member);
      setTimeout(() => this.dial(peer), RECONNECT_INTERVAL_MS);
    });
    this.receiveFrom(socket, peer.member);
  }

  /** Heartbeats arrive only on accepted connections, so only these are closed when silent. */
  private receiveFrom(socket: Socket, dialledMember?: string): void {
    const decoder = new PeerDecoder();
    if (dialledMember === undefined) socket.setTimeout(SILENCE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => {
      try {
        for (const message of decoder.push(chunk)) this.receive(socket, message);
      } catch (error) {
        // An invalid message closes the peer's connection, but must not end this process.
        this.log('info', { error: String(error) }, 'malformed peer message');
        socket.destroy();
      }
    });
  }

  private receive(socket: Socket, message: PeerMessage): void {
    switch (message.kind) {
      case 'heartbeat':
        return this.events.onHeartbeat(message);
      case 'counts':
      case 'hints':
        return this.events.onBroadcast(message);
      case 'answer': {
        const body = message.body.length > 0 ? unpackBody(message.body) : null;
        return this.settle(message.id, { kind: 'answer', status: message.status, body });
      }
      case 'ask':
        return this.receiveRequest(socket, message);
    }
  }

  private receiveRequest(socket: Socket, message: PeerRequest): void {
    const respond = (status: number, body: unknown) => {
      const answer = { kind: 'answer' as const, id: message.id, status, body: packBody(body) };
      this.write(socket, packPeerMessage(answer));
    };
    const memory = message.body.length + message.path.length + REQUEST_OVERHEAD_BYTES;
    if (!this.requestMemory.reserve(memory)) return respond(BUSY_STATUS, { error: 'busy' });
    this.events.onRequest(message, (status, body) => {
      this.requestMemory.release(memory);
      respond(status, body);
    });
  }
}
