/** Decides whether a leader may start tasks or renew worker leases; no other code decides this. */
import type { Duration, Instant } from '@tealdock/wire';
import { maxStaleness } from '../leadership/freshness.js';
import type { LeaderLease } from '../leadership/leadership.js';
import type { Runtime } from '../runtime/runtime.js';
import { isFresh, refused, type Decision, type Evidence } from './decision.js';

/** A task is started only if all cancellations older than this are known. */
const MAX_START_STALENESS_MS: Duration = 2000;

/** The state of a term that decisions depend on. */
export interface TermKnowledge {
  /** True once the stored state has been read. */
  readonly stateLoaded: boolean;
  /** True once leadership is lost. */
  readonly closed: boolean;
  /** All cancellations committed before this instant are known; -Infinity before the first read. */
  readonly cancellationsKnownUntil: Instant;
  /** True while the resources and team of every task listed in a heartbeat are known. */
  readonly observedJobsLoaded: boolean;
  /** True if the job is live; false also for a job that this term has not read yet. */
  isLive(job: string): boolean;
}

/** The properties of a machine that decide whether it may receive starts. */
export interface StartTarget {
  readonly isRegistered: boolean;
  readonly isReconciled: boolean;
  readonly isReturning: boolean;
}

/** Provides the leader lease. */
export interface LeaseHolder {
  /** Returns the leader lease; null unless it is certainly valid now. */
  validLease(): LeaderLease | null;
}

/**
 * Decides which actions a leader may take now (docs/safety.md, "What each path acts on").
 * Decisions have no side effects and can be requested at any time; the callers that act on them
 * write the log.
 */
export class Authority {
  constructor(
    private readonly runtime: Runtime,
    private readonly lease: LeaseHolder,
    private readonly knowledge: TermKnowledge,
  ) {}

  /** Decides whether heartbeats may be answered with status 200, which renews worker leases. */
  renewal(): Decision {
    return this.decide(maxStaleness(this.runtime.settings));
  }

  /** Decides whether the response to a machine's newest heartbeat may start tasks. */
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
   * Whether a task that a heartbeat lists may be stopped, whatever fencing token the heartbeat
   * carries. A leader started the task while its job was live. If this term has read the live jobs
   * and the job is not among them, the job has ended, which is final.
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
