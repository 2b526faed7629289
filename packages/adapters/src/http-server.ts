/** The public HTTP interface. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { HEALTH_PATH, MAX_BODY_BYTES, HEARTBEAT_PATH, packBody } from '@tealdock/wire';
import type { Reply, SocketShares } from '@tealdock/controller';
import type { Connections, Holder } from './connections.js';
import { listen } from './listen.js';

const SWEEP_EVERY = 1000;
const REQUEST_TIMEOUT = 10_000;
const REPLY_TIMEOUT = 6000;

/** Takes a whole request in; its answer goes through `respond`. */
export type Receive = (method: string, path: string, body: Buffer, respond: Respond) => void;
/** Sends the answer to a request, once. */
export type Respond = (reply: Reply) => void;

const BUSY: Reply = { status: 503, body: { error: 'busy' }, retryAfter: 1000 };

/** Users, workers and health checks. Bounded in bodies, connections and waiting. */
export class HttpFront {
  private readonly server: Server;

  constructor(
    private readonly receive: Receive,
    private readonly connections: Connections,
    shares: SocketShares,
  ) {
    this.server = createServer({ noDelay: true }, (req, res) => this.serve(req, res));
    // Idle connections are closed by the table, which knows whose they are.
    this.server.keepAliveTimeout = 0;
    this.server.headersTimeout = REQUEST_TIMEOUT;
    this.server.requestTimeout = REQUEST_TIMEOUT;
    this.server.maxConnections = shares.clients + shares.rejected;
    this.server.on('clientError', (_error, socket) => socket.destroy());
    this.server.on('connection', (socket) => {
      connections.opened(socket);
      socket.on('close', () => connections.closed(socket));
    });
    setInterval(() => connections.sweep(), SWEEP_EVERY).unref();
  }

  listen(address: string, ready: () => void, failed: (error: Error) => void): void {
    listen(this.server, address, ready, failed);
  }

  private serve(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    const welcome = this.connections.asked(socket, holderOf(pathOf(req)));
    if (this.connections.mustClose(socket)) res.setHeader('connection', 'close');
    res.on('close', () => this.connections.answered(socket));
    if (welcome) return this.receiveBody(req, res);
    req.resume();
    req.on('end', () => write(res, BUSY));
  }

  private receiveBody(req: IncomingMessage, res: ServerResponse): void {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= MAX_BODY_BYTES) chunks.push(chunk);
      else if (!res.headersSent) this.tooLarge(res);
    });
    req.on('error', () => res.destroy());
    req.on('end', () => {
      if (size <= MAX_BODY_BYTES) this.pass(req, Buffer.concat(chunks), res);
    });
  }

  private tooLarge(res: ServerResponse): void {
    res.setHeader('connection', 'close');
    write(res, { status: 400, body: { error: 'the body is over 64 KiB' } });
  }

  private pass(req: IncomingMessage, body: Buffer, res: ServerResponse): void {
    const timer = setTimeout(() => write(res, BUSY), REPLY_TIMEOUT);
    this.receive(req.method ?? 'GET', pathOf(req), body, (reply) => {
      clearTimeout(timer);
      write(res, reply);
    });
  }
}

const pathOf = (req: IncomingMessage): string => (req.url ?? '/').replace(/\?.*$/s, '');

function holderOf(path: string): Holder {
  if (path === HEARTBEAT_PATH) return 'worker';
  return path === HEALTH_PATH ? 'probe' : 'user';
}

function write(res: ServerResponse, reply: Reply): void {
  if (res.headersSent || res.destroyed) return;
  // Checked at the moment of writing: a leader whose lease may be over promises nothing.
  const late = reply.validUntil !== undefined && performance.now() >= reply.validUntil;
  const final: Reply = late ? { status: 503, body: { error: 'lease in doubt' } } : reply;
  const payload = packBody(final.body);
  res.writeHead(final.status, {
    'content-type': 'application/msgpack',
    'content-length': payload.length,
    ...(final.retryAfter === undefined
      ? {}
      : { 'retry-after': String(Math.ceil(final.retryAfter / 1000)) }),
    ...(final.allow === undefined ? {} : { allow: final.allow }),
  });
  res.end(payload);
}
