/** HTTP requests to the outside, over connections that stay open. */
import { Agent, request, type IncomingMessage } from 'node:http';
import { packBody, unpackBody } from '@tealdock/wire';
import type { CallResult } from '@tealdock/controller';

/** Answers longer than this are not read; watches may be long, but not this long. */
const MOST_ANSWER_BYTES = 8 * 1024 * 1024;

/** One request to an outside service. */
export interface HttpCall {
  host: string;
  port: number;
  method: string;
  path: string;
  body: unknown;
  timeout: number;
}

const MOST_PORT = 65_535;

/** Host and port of an address in the form `host:port`. */
export function splitAddress(address: string): { host: string; port: number } {
  const cut = address.lastIndexOf(':');
  return { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) };
}

/** One call with one result, whatever happens. No answer is never taken for a refusal. */
export class HttpClient {
  private readonly agent: Agent;

  /** Without `keepAlive`, calls to many hosts leave no sockets behind. */
  constructor(maxSockets: number, keepAlive = true) {
    this.agent = new Agent({
      keepAlive,
      maxSockets,
      maxTotalSockets: maxSockets,
      maxFreeSockets: maxSockets,
      noDelay: true,
    });
  }

  /** Closes all connections; calls under way are lost. */
  close(): void {
    this.agent.destroy();
  }

  send(call: HttpCall, done: (result: CallResult) => void): void {
    // Addresses of workers come from outside: an impossible one must not throw.
    if (!(call.port > 0 && call.port <= MOST_PORT)) return done({ kind: 'unsent' });
    let settled = false;
    const settle = (result: CallResult) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      done(result);
    };
    const payload = call.body === null ? null : packBody(call.body);
    const req = request({
      agent: this.agent,
      host: call.host,
      port: call.port,
      method: call.method,
      path: call.path,
      headers: payload
        ? { 'content-type': 'application/msgpack', 'content-length': payload.length }
        : {},
    });
    const timer = setTimeout(() => {
      settle({ kind: 'lost' });
      req.destroy();
    }, call.timeout);
    req.on('response', (res) => readAnswer(res, settle));
    req.on('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === 'ECONNREFUSED' ? { kind: 'unsent' } : { kind: 'lost' }),
    );
    req.end(payload ?? undefined);
  }
}

function readAnswer(res: IncomingMessage, settle: (result: CallResult) => void): void {
  const chunks: Buffer[] = [];
  let size = 0;
  res.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > MOST_ANSWER_BYTES) res.destroy();
    else chunks.push(chunk);
  });
  res.on('error', () => settle({ kind: 'lost' }));
  res.on('close', () => settle({ kind: 'lost' }));
  res.on('end', () => {
    const status = res.statusCode ?? 0;
    try {
      const body = size > 0 ? unpackBody(Buffer.concat(chunks)) : null;
      settle({ kind: 'answer', status, body });
    } catch {
      // The status alone tells whether it was executed only when it is an error.
      settle(status >= 400 ? { kind: 'answer', status, body: null } : { kind: 'lost' });
    }
  });
}
