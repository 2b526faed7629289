/** Calls to the state service. */
import {
  COMMIT_PATH,
  GRANTS_PATH,
  keyPath,
  leasePath,
  pagePath,
  parseChanges,
  parseCommitted,
  parseGrant,
  parseItem,
  parsePage,
  parseRefused,
  renderCommit,
  renewPath,
  watchPath,
  type Duration,
  type Guard,
  type Instant,
  type StateEvent,
  type StateItem,
  type Write,
} from '@tealdock/wire';
import { PRIORITY, type CallPriority, type CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';

/** A read that failed says nothing about the key. */
export type Got = { kind: 'found'; item: StateItem } | { kind: 'missing' } | { kind: 'failed' };

/** The same with a decoded value; one that can't be decoded counts as a failed read. */
export type GotValue<T> =
  { kind: 'found'; value: T; version: number } | { kind: 'missing' } | { kind: 'failed' };

/** `refused`: surely not executed. `unknown`: perhaps executed, now or later. */
export type Committed =
  | { kind: 'ok'; revision: number }
  | { kind: 'conflict' }
  | { kind: 'no_lease' }
  | { kind: 'refused' }
  | { kind: 'unknown' };

/** Whether keys have the versions that they were compared with. */
export type Compared =
  { kind: 'equal' } | { kind: 'changed'; failed: string[] } | { kind: 'unsure' };

/** What a watch of keys came to. */
export type Watched =
  | { kind: 'events'; revision: number; events: StateEvent[] }
  | { kind: 'too_old' }
  | { kind: 'failed' };

/** What the renewal of a lease came to. */
export type Renewed = 'ok' | 'ended' | 'failed';

const READ_TIMEOUT = 1200;
/** A commit without an answer for this long may still be carried out. */
export const COMMIT_TIMEOUT = 2000;
/** How long after its time a watch may be answered. */
const WATCH_SLACK = 2000;
const PAGE = 200;
/** Calls without a good answer for this long mean that the service is lost to this node. */
const LOST_AFTER = 2500;

/** The state service through its protocol, in the terms of the state owner. */
export class StateStore {
  private failingSince: Instant | null = null;

  constructor(private readonly runtime: Runtime) {}

  /** False once the service has been refusing or silent for a while. */
  get ok(): boolean {
    return this.failingSince === null || this.runtime.now - this.failingSince < LOST_AFTER;
  }

  /** True as soon as the newest call has failed. */
  get doubtful(): boolean {
    return this.failingSince !== null;
  }

  get(key: string, priority: CallPriority, done: (got: Got) => void): void {
    this.send('GET', keyPath(key), null, priority, 0, READ_TIMEOUT, (result) => {
      if (result.kind !== 'answer') return done({ kind: 'failed' });
      if (result.status === 404) return done({ kind: 'missing' });
      const item = result.status === 200 ? attempt(() => parseItem(result.body)) : null;
      done(item ? { kind: 'found', item } : { kind: 'failed' });
    });
  }

  /** A decoded value. A malformed one is logged, and is never taken for a missing one. */
  getValue<T>(
    key: string,
    decode: (stored: unknown) => T | null,
    priority: CallPriority,
    done: (got: GotValue<T>) => void,
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
      this.runtime.env.log('error', { key: item.key }, 'stored value can not be read');
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
      this.send('GET', pagePath(prefix, after, PAGE), null, priority, 0, READ_TIMEOUT, (result) => {
        const page =
          result.kind === 'answer' && result.status === 200
            ? attempt(() => parsePage(result.body))
            : null;
        if (!page) return done(null);
        items.push(...page.items);
        if (first < 0) first = page.revision;
        const last = page.items.at(-1);
        if (page.more && last) return next(last.key);
        // The oldest revision: a watch from there repeats what later pages already held.
        done({ items, revision: first });
      });
    next('');
  }

  commit(
    guards: Guard[],
    writes: Write[],
    priority: CallPriority,
    done: (committed: Committed) => void,
  ): void {
    const body = renderCommit(guards, writes);
    this.send('POST', COMMIT_PATH, body, priority, writes.length, COMMIT_TIMEOUT, (result) =>
      done(committedFrom(result)),
    );
  }

  /** A transaction without changes. */
  compare(guards: Guard[], timeout: Duration, done: (compared: Compared) => void): void {
    const body = renderCommit(guards, []);
    this.send('POST', COMMIT_PATH, body, PRIORITY.user, 0, timeout, (result) => {
      if (result.kind !== 'answer') return done({ kind: 'unsure' });
      if (result.status === 200) return done({ kind: 'equal' });
      const failed = result.status === 409 ? attempt(() => parseRefused(result.body)) : null;
      done(failed ? { kind: 'changed', failed } : { kind: 'unsure' });
    });
  }

  grant(life: number, done: (lease: number | null) => void): void {
    const body = { life_ms: Math.round(life) };
    this.send('POST', GRANTS_PATH, body, PRIORITY.lease, 0, READ_TIMEOUT, (result) =>
      done(
        result.kind === 'answer' && result.status === 200
          ? attempt(() => parseGrant(result.body))
          : null,
      ),
    );
  }

  renew(lease: number, done: (renewed: Renewed) => void): void {
    this.send('POST', renewPath(lease), null, PRIORITY.lease, 0, READ_TIMEOUT, (result) => {
      if (result.kind !== 'answer') return done('failed');
      done(result.status === 200 ? 'ok' : result.status === 404 ? 'ended' : 'failed');
    });
  }

  release(lease: number): void {
    this.send('DELETE', leasePath(lease), null, PRIORITY.lease, 0, READ_TIMEOUT, () => undefined);
  }

  watch(prefix: string, after: number, hold: number, done: (watched: Watched) => void): void {
    const path = watchPath(prefix, after, hold);
    this.send('GET', path, null, PRIORITY.leader, 0, hold + WATCH_SLACK, (result) => {
      if (result.kind === 'answer' && result.status === 410) return done({ kind: 'too_old' });
      const news =
        result.kind === 'answer' && result.status === 200
          ? attempt(() => parseChanges(result.body))
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

function committedFrom(result: CallResult): Committed {
  if (result.kind === 'lost') return { kind: 'unknown' };
  if (result.kind === 'unsent') return { kind: 'refused' };
  if (result.status === 409) return { kind: 'conflict' };
  if (result.status === 400 && /lease/.test(JSON.stringify(result.body)))
    return { kind: 'no_lease' };
  if (result.status !== 200) return { kind: 'refused' };
  const revision = attempt(() => parseCommitted(result.body));
  return revision === null ? { kind: 'unknown' } : { kind: 'ok', revision };
}

/** A surprising answer counts as a failure of its call, never as a crash. */
export function attempt<T>(parse: () => T): T | null {
  try {
    return parse();
  } catch {
    return null;
  }
}
