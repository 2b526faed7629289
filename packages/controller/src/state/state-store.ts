/** Client of the state service. */
import {
  COMMIT_PATH,
  LEASES_PATH,
  keyPath,
  leasePath,
  keyPagePath,
  parseChanges,
  parseCommitRevision,
  parseFailedPreconditions,
  parseItem,
  parseLeaseId,
  parseItems,
  renderTransaction,
  renewPath,
  watchPath,
  type Duration,
  type Precondition,
  type StateItem,
  type Write,
} from '@tealdock/wire';
import { parseOrNull, parseResponse } from '../runtime/call-results.js';
import { PRIORITY, type CallPriority, type CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { StateCalls, type StateCall } from './state-calls.js';
import type {
  CompareAndSwapResult,
  CompareResult,
  LeaseGrantResult,
  LeaseRenewalResult,
  RangeReadResult,
  ReadResult,
  ValueReadResult,
  WatchResult,
} from './state-results.js';

/** A commit that gets no answer within this time may still be carried out. */
export const COMMIT_TIMEOUT_MS = 2000;
/** How long after its wait time a watch may be answered. */
const WATCH_TIMEOUT_MARGIN_MS = 2000;
const PAGE_SIZE_LIMIT = 200;

/**
 * Calls the state service. No method throws or blocks: each passes its result to the callback, in
 * a later batch of commands. A malformed response counts as a failed call.
 */
export class StateStore {
  private readonly calls: StateCalls;

  constructor(private readonly runtime: Runtime) {
    this.calls = new StateCalls(runtime);
  }

  /** False once calls have failed for some time without a success. */
  get isAvailable(): boolean {
    return this.calls.isAvailable;
  }

  /** True from a failed call until the next successful one. */
  get lastCallFailed(): boolean {
    return this.calls.lastCallFailed;
  }

  /** Reads one key. */
  get(key: string, priority: CallPriority, onResult: (read: ReadResult) => void): void {
    this.calls.send({ method: 'GET', path: keyPath(key), priority }, (result) => {
      if (result.kind === 'answer' && result.status === 404) return onResult({ kind: 'missing' });
      const item = parseResponse(result, parseItem);
      onResult(item ? { kind: 'found', item } : { kind: 'failed' });
    });
  }

  /** Reads and decodes one key; a value that can't be decoded is logged. */
  getValue<T>(
    key: string,
    decode: (stored: unknown) => T | null,
    priority: CallPriority,
    onResult: (read: ValueReadResult<T>) => void,
  ): void {
    this.get(key, priority, (read) => {
      if (read.kind !== 'found') return onResult(read);
      const { version } = read.item;
      const value = this.decode(read.item, decode);
      onResult(value === null ? { kind: 'failed' } : { kind: 'found', value, version });
    });
  }

  /** Decodes an item that was read; if `decode` returns null, logs an error and returns null. */
  decode<T>(item: StateItem, decode: (stored: unknown) => T | null): T | null {
    const value = decode(item.value);
    if (value === null) this.runtime.log('error', { key: item.key }, 'stored value unreadable');
    return value;
  }

  /**
   * Reads all items with the prefix, page by page; fails if any page does. A page that is too large
   * is read again with half as many items.
   */
  readAll(prefix: string, priority: CallPriority, onResult: (read: RangeReadResult) => void): void {
    const items: StateItem[] = [];
    let firstRevision: number | null = null;
    const readPage = (afterKey: string, sizeLimit: number) => {
      const path = keyPagePath(prefix, afterKey, sizeLimit);
      this.calls.send({ method: 'GET', path, priority }, (result) => {
        if (result.kind === 'too_large' && sizeLimit > 1)
          return readPage(afterKey, Math.ceil(sizeLimit / 2));
        const page = parseResponse(result, parseItems);
        if (!page) return onResult({ kind: 'failed' });
        items.push(...page.items);
        firstRevision ??= page.revision;
        const last = page.items.at(-1);
        if (page.more && last) return readPage(last.key, sizeLimit);
        // The first page's revision: a watch from there misses no change, but may repeat some.
        onResult({ kind: 'ok', items, revision: firstRevision });
      });
    };
    readPage('', PAGE_SIZE_LIMIT);
  }

  /** Executes all writes, or none if a precondition does not hold. */
  compareAndSwap(
    preconditions: Precondition[],
    writes: Write[],
    priority: CallPriority,
    onResult: (commit: CompareAndSwapResult) => void,
  ): void {
    const body = renderTransaction(preconditions, writes);
    const call: StateCall = {
      method: 'POST',
      path: COMMIT_PATH,
      priority,
      body,
      writeCount: writes.length,
      timeout: COMMIT_TIMEOUT_MS,
    };
    this.calls.send(call, (result) => onResult(commitResult(result)));
  }

  /** Compares the versions of keys, in a transaction without writes. */
  compare(
    preconditions: Precondition[],
    timeout: Duration,
    onResult: (comparison: CompareResult) => void,
  ): void {
    const body = renderTransaction(preconditions, []);
    const { user: priority } = PRIORITY;
    this.calls.send({ method: 'POST', path: COMMIT_PATH, priority, body, timeout }, (result) =>
      onResult(compareResult(result)),
    );
  }

  /** Requests a lease of this duration. */
  grantLease(duration: Duration, onResult: (grant: LeaseGrantResult) => void): void {
    const body = { life_ms: Math.round(duration) };
    const { lease: priority } = PRIORITY;
    this.calls.send({ method: 'POST', path: LEASES_PATH, priority, body }, (result) => {
      const leaseId = parseResponse(result, parseLeaseId);
      onResult(leaseId === null ? { kind: 'failed' } : { kind: 'granted', leaseId });
    });
  }

  /** Extends the lease by its duration. */
  renewLease(leaseId: number, onResult: (renewal: LeaseRenewalResult) => void): void {
    const { lease: priority } = PRIORITY;
    this.calls.send({ method: 'POST', path: renewPath(leaseId), priority }, (result) => {
      if (result.kind !== 'answer') return onResult('failed');
      onResult(result.status === 200 ? 'ok' : result.status === 404 ? 'ended' : 'failed');
    });
  }

  /** Ends the lease and removes the keys that were written on it; the result is ignored. */
  revokeLease(leaseId: number): void {
    const { lease: priority } = PRIORITY;
    this.calls.send({ method: 'DELETE', path: leasePath(leaseId), priority }, () => undefined);
  }

  /** Waits up to `waitTime` for changes after a revision to keys with the prefix. */
  watch(
    prefix: string,
    afterRevision: number,
    waitTime: Duration,
    onResult: (watched: WatchResult) => void,
  ): void {
    const path = watchPath(prefix, afterRevision, waitTime);
    const { leader: priority } = PRIORITY;
    const timeout = waitTime + WATCH_TIMEOUT_MARGIN_MS;
    this.calls.send({ method: 'GET', path, priority, timeout }, (result) => {
      if (result.kind === 'answer' && result.status === 410) return onResult({ kind: 'too_old' });
      if (result.kind === 'too_large') return onResult({ kind: 'too_many' });
      const changes = parseResponse(result, parseChanges);
      onResult(changes ? { kind: 'events', ...changes } : { kind: 'failed' });
    });
  }
}

function commitResult(result: CallResult): CompareAndSwapResult {
  if (result.kind === 'lost' || result.kind === 'too_large') return { kind: 'unknown' };
  if (result.kind === 'unsent') return { kind: 'refused' };
  if (result.status === 409) return { kind: 'conflict' };
  if (result.status === 400 && /lease/.test(JSON.stringify(result.body)))
    return { kind: 'no_lease' };
  if (result.status === 400) return { kind: 'invalid' };
  if (result.status !== 200) return { kind: 'refused' };
  const revision = parseOrNull(() => parseCommitRevision(result.body));
  return revision === null ? { kind: 'unknown' } : { kind: 'ok', revision };
}

function compareResult(result: CallResult): CompareResult {
  if (result.kind !== 'answer') return { kind: 'unknown' };
  if (result.status === 200) return { kind: 'equal' };
  if (result.status !== 409) return { kind: 'unknown' };
  const changedKeys = parseOrNull(() => parseFailedPreconditions(result.body));
  return changedKeys ? { kind: 'changed', changedKeys } : { kind: 'unknown' };
}
