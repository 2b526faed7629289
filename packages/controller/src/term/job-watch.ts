/** Tracks submissions and cancellations by all nodes, and how recent that knowledge is. */
import type { Instant, StateEvent, StateItem } from '@tealdock/wire';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { LIVE_PREFIX, splitLiveKey } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { WriteShare } from '../state/write-share.js';
import type { LiveJobs } from './live-jobs.js';
import type { TermStatus } from './term-view.js';

/** Delay after a failed call to the state service. */
const RETRY_DELAY_MS = 400;
/**
 * Short, because a response to a watch proves knowledge of cancellations only up to the moment at
 * which the watch request was sent.
 */
const WATCH_TIMEOUT_MS = 1000;

/**
 * Watches the keys of live jobs. Responses that renew worker leases are allowed only while this
 * knowledge is recent enough (docs/safety.md, Freshness of cancellations).
 */
export class JobWatch {
  private knownUntil: Instant = -Infinity;
  private readonly writeShare: WriteShare;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly term: TermStatus,
    private readonly liveJobs: LiveJobs,
  ) {
    this.writeShare = new WriteShare(runtime, () => !term.closed);
  }

  /** All cancellations committed before this instant are known; -Infinity before the first read. */
  get cancellationsKnownUntil(): Instant {
    return this.knownUntil;
  }

  /** Starts the periodic adjustment of the leader's share of the writes per second. */
  start(): void {
    this.writeShare.start();
  }

  /** Records that the live jobs are known as of a request that was sent at this instant. */
  recordRead(requestedAt: Instant): void {
    this.knownUntil = requestedAt;
  }

  /** Watches for changes after this revision, repeatedly until the term closes. */
  watchFrom(revision: number): void {
    if (this.term.closed) return;
    const requestedAt = this.runtime.now;
    this.state.watch(LIVE_PREFIX, revision, WATCH_TIMEOUT_MS, (watched) => {
      if (this.term.closed) return;
      if (watched.kind === 'failed')
        return this.runtime.after(RETRY_DELAY_MS, () => this.watchFrom(revision));
      if (watched.kind !== 'events') return this.reread();
      this.recordRead(requestedAt);
      this.logChanges(watched.revision, watched.events.length);
      for (const event of watched.events) this.applyEvent(event);
      this.watchFrom(watched.revision);
    });
  }

  /** Reads all live jobs again, because the changes since the watch's revision can't be had. */
  private reread(): void {
    if (this.term.closed) return;
    const requestedAt = this.runtime.now;
    this.state.readAll(LIVE_PREFIX, PRIORITY.leader, (live) => {
      if (this.term.closed) return;
      if (live.kind === 'failed') return this.runtime.after(RETRY_DELAY_MS, () => this.reread());
      this.recordRead(requestedAt);
      this.replaceLiveJobs(live.items);
      this.watchFrom(live.revision);
    });
  }

  private replaceLiveJobs(items: StateItem[]): void {
    const specs = new Map<string, StateItem>();
    for (const item of items) {
      const key = splitLiveKey(item.key);
      if (key?.rest === 'spec') specs.set(key.job, item);
    }
    for (const id of [...this.liveJobs.jobs.keys()]) if (!specs.has(id)) this.liveJobs.endJob(id);
    for (const [id, { value, version }] of specs) this.liveJobs.addJob(id, value, version);
  }

  private logChanges(revision: number, changes: number): void {
    const ageMs = Math.round(this.runtime.now - this.knownUntil);
    this.runtime.stats.record('evidence.watch_age_ms', ageMs);
    if (changes > 0)
      this.runtime.log('debug', { revision, changes, ageMs }, 'job changes received');
  }

  private applyEvent(event: StateEvent): void {
    const key = splitLiveKey(event.key);
    if (key?.rest !== 'spec') return;
    const job = this.liveJobs.jobs.get(key.job);
    // This leader itself ends a job that is complete or has a cancelled predecessor, so the
    // removal of its key does not count as another node's write.
    const isEndingHere =
      job?.progress.isComplete === true || job?.dependencies.hasCancelledPredecessor === true;
    const isByOtherNode = !event.removed || (job !== undefined && !isEndingHere);
    if (isByOtherNode) this.writeShare.recordChange(event);
    if (event.removed) this.liveJobs.endJob(key.job);
    else this.liveJobs.addJob(key.job, event.value, event.version);
  }
}
