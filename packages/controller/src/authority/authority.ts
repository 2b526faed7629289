/** The one place where a leader asks whether it may start tasks or renew worker leases. */
import type { Duration, Instant } from '@tealdock/wire';
import { maxStaleness } from '../leadership/freshness.js';
import type { LeaderLease } from '../leadership/leadership.js';
import type { Runtime } from '../runtime/runtime.js';
import { isFresh, refused, type Decision, type Evidence } from './decision.js';

/** A task is started only while the known cancellations are at most this old. */
const MAX_START_STALENESS_MS: Duration = 2000;

/** What a term knows, as far as decisions depend on it. */
export interface TermKnowledge {
  /** The stored state has been read. */
  readonly stateLoaded: boolean;
  readonly closed: boolean;
  /** Every cancellation committed before this is known; -Infinity before the first read. */
  readonly cancellationsKnownUntil: Instant;
  /** Resources and team of every task that a heartbeat has shown are known. */
  readonly observedJobsLoaded: boolean;
  isLive(job: string): boolean;
}

/** The properties of a machine that a start depends on. */
export interface StartTarget {
  readonly isRegistered: boolean;
  readonly isReconciled: boolean;
  readonly isReturning: boolean;
}

/** Holder of the leader's lease. */
export interface LeaseHolder {
  /** Null unless the lease is certainly valid now. */
  validLease(): LeaderLease | null;
}

/**
 * Decides what a leader may do now (docs/safety.md, "What each path acts on"). Decisions change
 * no state and write no log, so they can be asked for at any time; whoever acts on one logs it.
 */
export class Authority {
  constructor(
    private readonly runtime: Runtime,
    private readonly lease: LeaseHolder,
    private readonly knowledge: TermKnowledge,
  ) {}

  /** Whether a heartbeat may be answered with status 200, which renews the worker's lease. */
  renewal(): Decision {
    return this.decide(maxStaleness(this.runtime.settings));
  }

  /** Whether the answer to the newest heartbeat of a machine may start tasks. */
  start(machine: StartTarget): Decision {
    const decision = this.decide(MAX_START_STALENESS_MS);
    if (!decision.granted) return decision;
    if (!machine.isRegistered) return refused('machine_not_registered', decision.evidence);
    if (!machine.isReconciled) return refused('machine_unaccounted', decision.evidence);
    if (machine.isReturning) return refused('machine_returning', decision.evidence);
    if (!this.knowledge.observedJobsLoaded) return refused('sizes_unknown', decision.evidence);
    return decision;
  }

  /**
   * Whether a task that a heartbeat shows may be stopped, whatever fencing token the heartbeat
   * carries. Its job was live when an older leader started it, so a term that has read the live
   * jobs and does not find it there knows that it has ended, which is final.
   */
  mayStop(job: string): boolean {
    return this.knowledge.stateLoaded && !this.knowledge.isLive(job);
  }

  private decide(limit: Duration): Decision {
    const lease = this.lease.validLease();
    if (!lease) return refused('no_lease');
    if (this.knowledge.closed) return refused('term_over');
    if (!this.knowledge.stateLoaded) return refused('jobs_not_read');
    const { cancellationsKnownUntil } = this.knowledge;
    const age = this.runtime.now - cancellationsKnownUntil;
    const evidence: Evidence = { source: 'job watch', age, limit };
    if (!isFresh(evidence)) return refused('knowledge_stale', evidence);
    const validUntil = Math.min(lease.validUntil, cancellationsKnownUntil + limit);
    return { granted: true, fencingToken: lease.fencingToken, validUntil, evidence };
  }
}
