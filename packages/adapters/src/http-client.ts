/** HTTP requests to the outside, over connections that stay open. */
import { Agent, request, type IncomingMessage } from 'node:http';
import { WireError, packBody, unpackBody, type Duration } from '@tealdock/wire';
import type { CallResult } from '@tealdock/controller';

/** Longer answers are not read; only those to watches come near it. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const MAX_PORT = 65_535;
/** The lowest status of an error. */
const MIN_ERROR_STATUS = 400;

/** One request to an outside service. */
export interface HttpCall {
  host: string;
  port: number;
  method: string;
  path: string;
  /** Sent as MessagePack; null for none. */
  body: unknown;
  timeout: Duration;
}

/** Host and port of an address in the form `host:port`. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Sends calls; each has exactly one result, and none throws. */
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

  /** The result of a call, as a promise that never rejects. */
  request(call: HttpCall): Promise<CallResult> {
    return new Promise((resolve) => this.send(call, resolve));
  }

  /** The same by a callback, for the state owner's calls, where each turn counts. */
  send(call: HttpCall, onResult: (result: CallResult) => void): void {
    // Addresses of workers come from outside: an impossible one must not throw.
    if (!(call.port > 0 && call.port <= MAX_PORT)) return onResult({ kind: 'unsent' });
    let isSettled = false;
    const settle = (result: CallResult) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      onResult(result);
    };
    const payload = call.body === null ? null : packBody(call.body);
    const outgoing = request({
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
      outgoing.destroy();
    }, call.timeout);
    outgoing.on('response', (response) => readAnswer(response, settle));
    outgoing.on('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === 'ECONNREFUSED' ? { kind: 'unsent' } : { kind: 'lost' }),
    );
    outgoing.end(payload ?? undefined);
  }
}

function readAnswer(response: IncomingMessage, settle: (result: CallResult) => void): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_ANSWER_BYTES) response.destroy();
    else chunks.push(chunk);
  });
  response.on('error', () => settle({ kind: 'lost' }));
  response.on('close', () => settle({ kind: 'lost' }));
  response.on('end', () => settle(resultOf(response.statusCode ?? 0, Buffer.concat(chunks))));
}

function resultOf(status: number, payload: Buffer): CallResult {
  try {
    const body = payload.length > 0 ? unpackBody(payload) : null;
    return { kind: 'answer', status, body };
  } catch (error) {
    if (!(error instanceof WireError)) throw error;
    // Without a readable body, only the status of an error says that nothing was executed.
    return status >= MIN_ERROR_STATUS ? { kind: 'answer', status, body: null } : { kind: 'lost' };
  }
}
