/** Calls to the state service. */
import {
  COMMIT_PATH,
  LEASES_PATH,
  keyPath,
  leasePath,
  pagePath,
  parseChanges,
  parseCommitRevision,
  parseLeaseId,
  parseItem,
  parsePage,
  parseFailedPreconditions,
  renderTransaction,
  renewPath,
  watchPath,
  type Duration,
  type Precondition,
  type Instant,
  type StateEvent,
  type StateItem,
  type Write,
} from '@tealdock/wire';
import { PRIORITY, type CallPriority, type CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';

/** A read that failed says nothing about the key. */
export type ReadResult =
  { kind: 'found'; item: StateItem } | { kind: 'missing' } | { kind: 'failed' };

/** The same with a decoded value; one that can't be decoded counts as a failed read. */
export type ValueReadResult<T> =
  { kind: 'found'; value: T; version: number } | { kind: 'missing' } | { kind: 'failed' };

/** `refused`: surely not executed. `unknown`: perhaps executed, now or later. */
export type CompareAndSwapResult =
  | { kind: 'ok'; revision: number }
  | { kind: 'conflict' }
  | { kind: 'no_lease' }
  | { kind: 'refused' }
  | { kind: 'unknown' };

/** Whether keys have the versions that they were compared with. */
export type CompareResult =
  { kind: 'equal' } | { kind: 'changed'; failed: string[] } | { kind: 'unsure' };

/** What a watch of keys came to. */
export type WatchResult =
  | { kind: 'events'; revision: number; events: StateEvent[] }
  | { kind: 'too_old' }
  | { kind: 'failed' };

/** What the renewal of a lease came to. */
export type LeaseRenewalResult = 'ok' | 'ended' | 'failed';

const READ_TIMEOUT_MS = 1200;
/** A commit without an answer for this long may still be carried out. */
export const COMMIT_TIMEOUT_MS = 2000;
/** How long after its time a watch may be answered. */
const WATCH_TIMEOUT_MARGIN_MS = 2000;
const PAGE_SIZE_LIMIT = 200;
/** Calls without a good answer for this long mean that the service is lost to this node. */
const UNAVAILABLE_AFTER_MS = 2500;

/** The state service through its protocol, in the terms of the state owner. */
export class StateStore {
  private failingSince: Instant | null = null;

  constructor(private readonly runtime: Runtime) {}

  /** False once the service has been refusing or silent for a while. */
  get isAvailable(): boolean {
    return (
      this.failingSince === null || this.runtime.now - this.failingSince < UNAVAILABLE_AFTER_MS
    );
  }

  /** True as soon as the newest call has failed. */
  get lastCallFailed(): boolean {
    return this.failingSince !== null;
  }

  get(key: string, priority: CallPriority, done: (got: ReadResult) => void): void {
    this.send('GET', keyPath(key), null, priority, 0, READ_TIMEOUT_MS, (result) => {
      if (result.kind !== 'answer') return done({ kind: 'failed' });
      if (result.status === 404) return done({ kind: 'missing' });
      const item = result.status === 200 ? parseOrNull(() => parseItem(result.body)) : null;
      done(item ? { kind: 'found', item } : { kind: 'failed' });
    });
  }

  /** A decoded value. A malformed one is logged, and is never taken for a missing one. */
  getValue<T>(
    key: string,
    decode: (stored: unknown) => T | null,
    priority: CallPriority,
    done: (got: ValueReadResult<T>) => void,
  ): void {
    this.get(key, priority, (got) => {
      if (got.kind !== 'found') return done(got);
      const value = this.decode(got.item, decode);
      done(
        value === null ? { kind: 'failed' } : { kind: 'found', value, version: got.item.version },
      );
    });
  }

  /** Decodes an item that was read; logs one that can't be. */
  decode<T>(item: StateItem, decode: (stored: unknown) => T | null): T | null {
    const value = decode(item.value);
    if (value === null) {
      this.runtime.env.log('error', { key: item.key }, 'stored value unreadable');
    }
    return value;
  }

  /** Every item with the prefix, or null if that can't be told. */
  readAll(
    prefix: string,
    priority: CallPriority,
    done: (all: { items: StateItem[]; revision: number } | null) => void,
  ): void {
    const items: StateItem[] = [];
    let first = -1;
    const next = (after: string) =>
      this.send(
        'GET',
        pagePath(prefix, after, PAGE_SIZE_LIMIT),
        null,
        priority,
        0,
        READ_TIMEOUT_MS,
        (result) => {
          const page =
            result.kind === 'answer' && result.status === 200
              ? parseOrNull(() => parsePage(result.body))
              : null;
          if (!page) return done(null);
          items.push(...page.items);
          if (first < 0) first = page.revision;
          const last = page.items.at(-1);
          if (page.more && last) return next(last.key);
          // The oldest revision: a watch from there repeats what later pages already held.
          done({ items, revision: first });
        },
      );
    next('');
  }

  compareAndSwap(
    preconditions: Precondition[],
    writes: Write[],
    priority: CallPriority,
    done: (committed: CompareAndSwapResult) => void,
  ): void {
    const body = renderTransaction(preconditions, writes);
    this.send('POST', COMMIT_PATH, body, priority, writes.length, COMMIT_TIMEOUT_MS, (result) =>
      done(committedFrom(result)),
    );
  }

  /** A transaction without changes. */
  compare(
    preconditions: Precondition[],
    timeout: Duration,
    done: (compared: CompareResult) => void,
  ): void {
    const body = renderTransaction(preconditions, []);
    this.send('POST', COMMIT_PATH, body, PRIORITY.user, 0, timeout, (result) => {
      if (result.kind !== 'answer') return done({ kind: 'unsure' });
      if (result.status === 200) return done({ kind: 'equal' });
      const failed =
        result.status === 409 ? parseOrNull(() => parseFailedPreconditions(result.body)) : null;
      done(failed ? { kind: 'changed', failed } : { kind: 'unsure' });
    });
  }

  grantLease(life: number, done: (lease: number | null) => void): void {
    const body = { life_ms: Math.round(life) };
    this.send('POST', LEASES_PATH, body, PRIORITY.lease, 0, READ_TIMEOUT_MS, (result) =>
      done(
        result.kind === 'answer' && result.status === 200
          ? parseOrNull(() => parseLeaseId(result.body))
          : null,
      ),
    );
  }

  renewLease(lease: number, done: (renewed: LeaseRenewalResult) => void): void {
    this.send('POST', renewPath(lease), null, PRIORITY.lease, 0, READ_TIMEOUT_MS, (result) => {
      if (result.kind !== 'answer') return done('failed');
      done(result.status === 200 ? 'ok' : result.status === 404 ? 'ended' : 'failed');
    });
  }

  revokeLease(lease: number): void {
    this.send(
      'DELETE',
      leasePath(lease),
      null,
      PRIORITY.lease,
      0,
      READ_TIMEOUT_MS,
      () => undefined,
    );
  }

  watch(prefix: string, after: number, hold: number, done: (watched: WatchResult) => void): void {
    const path = watchPath(prefix, after, hold);
    this.send('GET', path, null, PRIORITY.leader, 0, hold + WATCH_TIMEOUT_MARGIN_MS, (result) => {
      if (result.kind === 'answer' && result.status === 410) return done({ kind: 'too_old' });
      const news =
        result.kind === 'answer' && result.status === 200
          ? parseOrNull(() => parseChanges(result.body))
          : null;
      done(news ? { kind: 'events', ...news } : { kind: 'failed' });
    });
  }

  private send(
    method: string,
    path: string,
    body: unknown,
    priority: CallPriority,
    writes: number,
    timeout: number,
    done: (result: CallResult) => void,
  ): void {
    const call = {
      target: 'state' as const,
      to: '',
      method,
      path,
      body,
      priority,
      writes,
      timeout,
    };
    this.runtime.call(call, (result) => {
      this.note(result);
      done(result);
    });
  }

  private note(result: CallResult): void {
    const served = result.kind === 'answer' && result.status < 500 && result.status !== 429;
    if (served) this.failingSince = null;
    else if (result.kind !== 'answer' || result.status >= 500)
      this.failingSince ??= this.runtime.now;
  }
}

function committedFrom(result: CallResult): CompareAndSwapResult {
  if (result.kind === 'lost') return { kind: 'unknown' };
  if (result.kind === 'unsent') return { kind: 'refused' };
  if (result.status === 409) return { kind: 'conflict' };
  if (result.status === 400 && /lease/.test(JSON.stringify(result.body)))
    return { kind: 'no_lease' };
  if (result.status !== 200) return { kind: 'refused' };
  const revision = parseOrNull(() => parseCommitRevision(result.body));
  return revision === null ? { kind: 'unknown' } : { kind: 'ok', revision };
}

/** A surprising answer counts as a failure of its call, never as a crash. */
export function parseOrNull<T>(parse: () => T): T | null {
  try {
    return parse();
  } catch {
    return null;
  }
}
