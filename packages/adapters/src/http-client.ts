/** HTTP requests to other processes. */
import { Agent, request, type IncomingMessage } from 'node:http';
import { TooLargeError, WireError, packBody, unpackBody, type Duration } from '@tealdock/wire';
import type { CallResult } from '@tealdock/controller';
import { receiveBody } from './receive-body.js';

/** Limit of an answer unless the call has another; pages of stored keys come nearest, with half. */
const DEFAULT_MAX_ANSWER_BYTES = 1024 * 1024;
const MAX_PORT = 65_535;
/** Host names and IP addresses; many other characters make a request throw. */
const HOST_PATTERN = /^[\w.:[\]-]+$/;
/** The lowest status of an error. */
const MIN_ERROR_STATUS = 400;

/** A request to another process. */
export interface HttpCall {
  host: string;
  port: number;
  method: string;
  path: string;
  /** Sent as MessagePack; null for a request without a body. */
  body: unknown;
  timeout: Duration;
  /** A longer answer is not read: the result is `too_large`. */
  maxAnswerBytes?: number;
}

/** Splits an address in the form `host:port`. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Sends HTTP requests; each has exactly one result, and none throws. */
export class HttpClient {
  private readonly agent: Agent;

  /** `keepAlive` should be false for calls to many hosts, so that no idle sockets stay open. */
  constructor(maxSockets: number, keepAlive = true) {
    this.agent = new Agent({
      keepAlive,
      maxSockets,
      maxTotalSockets: maxSockets,
      maxFreeSockets: maxSockets,
      noDelay: true,
    });
  }

  /** Closes all connections; pending calls are lost. */
  close(): void {
    this.agent.destroy();
  }

  /** Sends a call and returns its result; the promise never rejects. */
  request(call: HttpCall): Promise<CallResult> {
    return new Promise((resolve) => this.send(call, resolve));
  }

  /** Like `request`, but passes the result to a callback without the extra turn of a promise. */
  send(call: HttpCall, onResult: (result: CallResult) => void): void {
    // Workers report their own addresses, so an invalid one must not throw here.
    if (!isValidAddress(call)) return onResult({ kind: 'unsent' });
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
    outgoing.on('response', (response) =>
      readAnswer(response, call.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES, settle),
    );
    outgoing.on('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === 'ECONNREFUSED' ? { kind: 'unsent' } : { kind: 'lost' }),
    );
    outgoing.end(payload ?? undefined);
  }
}

const isValidAddress = ({ host, port }: HttpCall): boolean =>
  HOST_PATTERN.test(host) && Number.isInteger(port) && port > 0 && port <= MAX_PORT;

function readAnswer(
  response: IncomingMessage,
  maxBytes: number,
  settle: (result: CallResult) => void,
): void {
  response.on('error', () => settle({ kind: 'lost' }));
  response.on('close', () => settle({ kind: 'lost' }));
  const status = response.statusCode ?? 0;
  receiveBody(response, {
    mayKeep: (_addedBytes, length) => {
      if (length <= maxBytes) return true;
      settle(unreadable(status, 'too_large'));
      response.destroy();
      return false;
    },
    onComplete: (payload) => settle(resultOf(status, payload)),
  });
}

function resultOf(status: number, payload: Buffer): CallResult {
  try {
    const body = payload.length > 0 ? unpackBody(payload) : null;
    return { kind: 'answer', status, body };
  } catch (error) {
    if (!(error instanceof WireError)) throw error;
    return unreadable(status, error instanceof TooLargeError ? 'too_large' : 'lost');
  }
}

/** Without a readable body, only an error status shows the outcome: nothing was executed. */
function unreadable(status: number, kind: 'too_large' | 'lost'): CallResult {
  return status >= MIN_ERROR_STATUS ? { kind: 'answer', status, body: null } : { kind };
}
