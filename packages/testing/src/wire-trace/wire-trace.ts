/** A digest of everything that crosses the boundary of a simulated cluster's nodes. */
import { createHash } from 'node:crypto';
import { packBody, packPeerMessage, type PeerMessage } from '@tealdock/wire';
import type { Call, CallResult, HttpRequest, Reply } from '@tealdock/controller';

/** Observer of the messages that cross the boundary of the nodes; `at` is the time in ms. */
export interface WireObserver {
  /** A request reaches a node. */
  request(at: number, node: string, request: HttpRequest): void;
  /** A node replies to the request with this id. */
  reply(at: number, node: string, request: number, reply: Reply): void;
  /** A node calls the state service, the cloud, a worker or another node. */
  call(at: number, node: string, id: number, call: Call): void;
  /** The result of the call with this id reaches the node that made it. */
  result(at: number, node: string, id: number, result: CallResult): void;
  /** A node sends a message over its link to another node. */
  frame(at: number, from: string, to: string, message: PeerMessage): void;
}

/** Part of the header of a record. */
type Field = string | number | boolean | null;

/** A stored value and its revision. */
interface StoredEntry {
  v: unknown;
  stamp: number;
}

/** Hashes requests, replies, calls, results, frames and stored values, but not logs or metrics. */
export class WireTrace implements WireObserver {
  private readonly hash = createHash('sha256');

  request(at: number, node: string, { id, method, path, via, body }: HttpRequest): void {
    this.add(['request', at, node, id, method, path, via], body);
  }

  reply(at: number, node: string, request: number, reply: Reply): void {
    const { status, retryAfter = null, allow = null, validUntil = null } = reply;
    const fields = ['reply', at, node, request, status, retryAfter, allow, validUntil];
    this.add(fields, packBody(reply.body));
  }

  call(at: number, node: string, id: number, call: Call): void {
    const { target, to, method, path, priority, writeCount: writes, timeout, body } = call;
    const fields = ['call', at, node, id, target, to, method, path, priority, writes, timeout];
    this.add(fields, packBody(body));
  }

  result(at: number, node: string, id: number, result: CallResult): void {
    const answer = result.kind === 'answer' ? result : null;
    const fields = ['result', at, node, id, result.kind, answer?.status ?? null];
    this.add(fields, packBody(answer?.body ?? null));
  }

  frame(at: number, from: string, to: string, message: PeerMessage): void {
    this.add(['frame', at, from, to], packPeerMessage(message));
  }

  /** Adds the state service's entries at the end of a run, each with its revision. */
  stored(at: number, entries: Iterable<[string, StoredEntry]>): void {
    for (const [key, { v, stamp }] of entries) this.add(['stored', at, key, stamp], packBody(v));
  }

  /** SHA-256 of all records, in hexadecimal; nothing can be added afterwards. */
  digest(): string {
    return this.hash.digest('hex');
  }

  private add(fields: Field[], body: Uint8Array): void {
    this.hash.update(`${JSON.stringify([...fields, body.length])}\n`);
    this.hash.update(body);
  }
}
