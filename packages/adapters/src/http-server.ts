import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { MAX_BODY_BYTES, packBody } from '@tealdock/wire';
import type { Reply } from '@tealdock/controller';
import { listen } from './listen.js';

const IDLE_TIMEOUT = 120_000;
const REQUEST_TIMEOUT = 10_000;
const REPLY_TIMEOUT = 6000;

export type Receive = (method: string, path: string, body: Buffer, respond: Respond) => void;
export type Respond = (reply: Reply) => void;

/** Users, workers and health checks. Bounded in bodies, connections and waiting. */
export class HttpFront {
  private readonly server: Server;

  constructor(
    private readonly receive: Receive,
    maxConnections: number,
  ) {
    this.server = createServer({ noDelay: true }, (req, res) => this.serve(req, res));
    this.server.keepAliveTimeout = IDLE_TIMEOUT;
    this.server.headersTimeout = REQUEST_TIMEOUT;
    this.server.requestTimeout = REQUEST_TIMEOUT;
    this.server.maxConnections = maxConnections;
    this.server.on('clientError', (_error, socket) => socket.destroy());
  }

  listen(address: string, ready: () => void, failed: (error: Error) => void): void {
    listen(this.server, address, ready, failed);
  }

  private serve(req: IncomingMessage, res: ServerResponse): void {
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
    const busy = { status: 503, body: { error: 'busy' }, retryAfter: 1000 };
    const timer = setTimeout(() => write(res, busy), REPLY_TIMEOUT);
    const path = (req.url ?? '/').split('?')[0]!;
    this.receive(req.method ?? 'GET', path, body, (reply) => {
      clearTimeout(timer);
      write(res, reply);
    });
  }
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
