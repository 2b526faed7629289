/** Submissions and cancellations on all nodes, and how fresh the knowledge of them is. */
import type { Instant, StateEvent, StateItem } from '@tealdock/wire';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { LIVE_PREFIX, splitLiveKey } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { WriteShare } from '../state/write-share.js';
import type { LiveJobs } from './live-jobs.js';
import type { TermState } from './term-state.js';

const RETRY = 400;
/** Short, since the send of an answered watch is how far this term surely knows what was cancelled. */
const WATCH_HOLD = 1000;

/**
 * Watches the keys of live jobs. Answers that renew leases rest on how fresh this is
 * (docs/safety.md, Freshness of cancellations).
 */
export class JobWatch {
  /** Every cancellation committed before this is known here. */
  cancellationsKnownUntil: Instant = -Infinity;
  private readonly writeShare: WriteShare;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly term: TermState,
    private readonly liveJobs: LiveJobs,
  ) {
    this.writeShare = new WriteShare(runtime, () => !term.closed);
  }

  start(): void {
    this.writeShare.start();
  }

  /** Follows the changes after this revision, from now on. */
  follow(revision: number): void {
    if (this.term.closed) return;
    const asked = this.runtime.now;
    this.state.watch(LIVE_PREFIX, revision, WATCH_HOLD, (watched) => {
      if (this.term.closed) return;
      if (watched.kind === 'failed') return this.runtime.after(RETRY, () => this.follow(revision));
      if (watched.kind === 'too_old') return this.reread();
      this.cancellationsKnownUntil = asked;
      this.noteRead(watched.revision, watched.events.length);
      for (const event of watched.events) this.jobEvent(event);
      this.follow(watched.revision);
    });
  }

  /** The watch fell too far behind: compare with everything that is live now. */
  private reread(): void {
    if (this.term.closed) return;
    const asked = this.runtime.now;
    this.state.readAll(LIVE_PREFIX, PRIORITY.leader, (live) => {
      if (this.term.closed) return;
      if (live.kind === 'failed') return this.runtime.after(RETRY, () => this.reread());
      this.cancellationsKnownUntil = asked;
      const specs = new Map<string, StateItem>();
      for (const item of live.items) {
        const at = splitLiveKey(item.key);
        if (at?.rest === 'spec') specs.set(at.job, item);
      }
      for (const id of [...this.term.jobs.keys()]) if (!specs.has(id)) this.liveJobs.endJob(id);
      for (const [id, { value, version }] of specs) this.liveJobs.addJob(id, value, version);
      this.follow(live.revision);
    });
  }

  /** Shows in the log what was known of jobs, and since when. */
  private noteRead(revision: number, changes: number): void {
    const ageMs = Math.round(this.runtime.now - this.cancellationsKnownUntil);
    this.runtime.stats.record('evidence.watch_age_ms', ageMs);
    if (changes > 0)
      this.runtime.env.log('debug', { revision, changes, ageMs }, 'job changes received');
  }

  private jobEvent(event: StateEvent): void {
    const at = splitLiveKey(event.key);
    if (at?.rest !== 'spec') return;
    const known = this.term.jobs.get(at.job);
    // A job that this leader ends is removed by its own commit.
    const byOthers =
      !event.removed ||
      (known && !known.progress.isComplete && !known.dependencies.hasCancelledPredecessor);
    if (byOthers) this.writeShare.recordChange(event);
    if (event.removed) this.liveJobs.endJob(at.job);
    else this.liveJobs.addJob(at.job, event.value, event.version);
  }
}
