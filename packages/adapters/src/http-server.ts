/** The public HTTP server. */
import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from 'node:http';
import { HEALTH_PATH, HEARTBEAT_PATH, packBody, secondsOf } from '@tealdock/wire';
import type { Log, Reply, SocketShares, Stats } from '@tealdock/controller';
import { BUSY, BodyLimits, type ArrivingRequest } from './body-limits.js';
import type { Connections, ClientKind } from './connections.js';
import { listen, type ListenEvents } from './listen.js';
import { receiveBody } from './receive-body.js';

const CLOSE_IDLE_INTERVAL_MS = 1000;
const REQUEST_TIMEOUT_MS = 10_000;
const REPLY_TIMEOUT_MS = 6000;
/** Limit of a request's line and headers; those of workers and users are far shorter. */
const MAX_HEADER_BYTES = 4 * 1024;

/** Handles a request whose body is complete, and calls `respond` with the reply. */
export type RequestHandler = (method: string, path: string, body: Buffer, respond: Respond) => void;
/** Sends the reply to a request; called once. */
export type Respond = (reply: Reply) => void;

const LEASE_IN_DOUBT: Reply = { status: 503, body: { error: 'lease in doubt' } };

/**
 * The HTTP server for users, workers and health checks. It limits the size of bodies, the number
 * of connections and the time that a request and its reply may take.
 */
export class PublicHttpServer {
  private readonly server: Server;
  private readonly bodyLimits: BodyLimits;

  constructor(
    private readonly handle: RequestHandler,
    private readonly connections: Connections,
    shares: SocketShares,
    private readonly stats: Pick<Stats, 'count'>,
    log: Log,
  ) {
    this.bodyLimits = new BodyLimits(stats, log);
    this.server = createServer({ noDelay: true, maxHeaderSize: MAX_HEADER_BYTES }, (req, res) =>
      this.accept(req, res),
    );
    // `Connections` closes idle connections, with a timeout for each kind of client.
    this.server.keepAliveTimeout = 0;
    this.server.headersTimeout = REQUEST_TIMEOUT_MS;
    this.server.requestTimeout = REQUEST_TIMEOUT_MS;
    this.server.maxConnections = shares.clients + shares.rejected;
    this.server.on('clientError', (_error, socket) => socket.destroy());
    this.server.on('connection', (socket) => {
      connections.connectionOpened(socket);
      socket.on('close', () => connections.connectionClosed(socket));
    });
    setInterval(() => connections.closeIdleConnections(), CLOSE_IDLE_INTERVAL_MS).unref();
  }

  /** Listens on an address in the form `host:port`. */
  listen(address: string, events: ListenEvents): void {
    listen(this.server, address, events);
  }

  private accept(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    // A connection that is closed below may still have requests in the bytes read from it.
    if (socket.destroyed) return;
    const isAdmitted = this.connections.admitRequest(socket, clientOf(pathOf(req)));
    if (this.connections.mustCloseAfterAnswer(socket)) res.setHeader('connection', 'close');
    res.on('close', () => this.connections.requestAnswered(socket));
    if (this.connections.isPipelining(socket)) {
      this.stats.count('connections.pipelining');
      socket.destroy();
      return;
    }
    if (isAdmitted) return this.receiveBody(req, res);
    req.resume();
    req.on('end', () => write(res, BUSY));
  }

  private receiveBody(req: IncomingMessage, res: ServerResponse): void {
    const request = describe(req);
    let heldBytes = 0;
    res.on('close', () => this.bodyLimits.release(heldBytes));
    req.on('error', () => res.destroy());
    receiveBody(req, {
      mayKeep: (addedBytes, length) => {
        const problem = this.bodyLimits.reserve(request, addedBytes, length);
        if (problem) refuseBody(res, problem);
        else heldBytes += addedBytes;
        return problem === null;
      },
      onComplete: (body) => this.handleWithTimeout(req, body, res),
    });
  }

  private handleWithTimeout(req: IncomingMessage, body: Buffer, res: ServerResponse): void {
    const timer = setTimeout(() => write(res, BUSY), REPLY_TIMEOUT_MS);
    this.handle(req.method ?? 'GET', pathOf(req), body, (reply) => {
      clearTimeout(timer);
      write(res, reply);
    });
  }
}

/** Refuses a request before its body is complete, and closes the connection after the reply. */
function refuseBody(res: ServerResponse, reply: Reply): void {
  res.setHeader('connection', 'close');
  write(res, reply);
}

const describe = (req: IncomingMessage): ArrivingRequest => ({
  path: pathOf(req),
  from: req.socket.remoteAddress,
  announcedBytes: req.headers['content-length'],
});

const pathOf = (req: IncomingMessage): string => (req.url ?? '/').replace(/\?.*$/s, '');

function clientOf(path: string): ClientKind {
  if (path === HEARTBEAT_PATH) return 'worker';
  return path === HEALTH_PATH ? 'probe' : 'user';
}

function write(res: ServerResponse, reply: Reply): void {
  if (res.headersSent || res.destroyed) return;
  // Checked just before writing: a leader whose lease may have expired must not renew leases.
  const isLate = reply.validUntil !== undefined && performance.now() >= reply.validUntil;
  const final = isLate ? LEASE_IN_DOUBT : reply;
  const payload = packBody(final.body);
  res.writeHead(final.status, headersOf(final, payload.length));
  res.end(payload);
}

function headersOf({ retryAfter, allow }: Reply, bytes: number): OutgoingHttpHeaders {
  return {
    'content-type': 'application/msgpack',
    'content-length': bytes,
    ...(retryAfter === undefined
      ? {}
      : { 'retry-after': String(Math.ceil(secondsOf(retryAfter))) }),
    ...(allow === undefined ? {} : { allow }),
  };
}
