/** The one place where a leader asks whether it may start tasks or renew leases. */
import type { Duration, Instant } from '@tealdock/wire';
import { maxStaleness } from '../leadership/freshness.js';
import type { LeaderLease } from '../leadership/leadership.js';
import type { Runtime } from '../runtime/runtime.js';
import { evidenceFields, isFresh, refused, type Decision, type Evidence } from './decision.js';

/** A start leaves only while the known cancellations are at most this old. */
const MAX_STALENESS_OF_STARTS: Duration = 2000;

/** What of a term's knowledge its rights depend on. */
export interface Knowledge {
  /** The stored state has been read. */
  readonly stateLoaded: boolean;
  readonly closed: boolean;
  /** Every cancellation committed before this is known. */
  readonly cancellationsKnownUntil: Instant;
  /** All that reports have shown is known by size and team. */
  readonly observedJobsLoaded: boolean;
  isLive(job: string): boolean;
}

/** What of a machine a start depends on. */
export interface StartTarget {
  readonly isRegistered: boolean;
  readonly isReconciled: boolean;
  readonly isReturning: boolean;
}

/** The leader's lease. */
export interface LeaseHolder {
  validLease(): LeaderLease | null;
}

/**
 * Decides what a leader may do now (docs/safety.md, "What each path acts on"). It changes
 * nothing, so that it can be asked at any time; whoever acts on a decision logs it.
 */
export class Authority {
  private lastRenewal = '';

  constructor(
    private readonly runtime: Runtime,
    private readonly lease: LeaseHolder,
    private readonly knowledge: Knowledge,
  ) {}

  /** An answer with status 200 to a report: it renews the worker's lease. */
  renewal(): Decision {
    return this.decide(maxStaleness(this.runtime.settings));
  }

  /** A start in the answer to the newest report of a machine. */
  start(machine: StartTarget): Decision {
    const decision = this.decide(MAX_STALENESS_OF_STARTS);
    if (!decision.granted) return decision;
    if (!machine.isRegistered) return refused('machine_not_registered', decision.evidence);
    if (!machine.isReconciled) return refused('machine_unaccounted', decision.evidence);
    if (machine.isReturning) return refused('machine_returning', decision.evidence);
    if (!this.knowledge.observedJobsLoaded) return refused('sizes_unknown', decision.evidence);
    return decision;
  }

  /**
   * A stop of a task that a report shows, whatever token the report carries. Its job was live
   * when an older leader started it, so a term that has read the live jobs and does not find it
   * there knows that it has ended, which is final.
   */
  mayStop(job: string): boolean {
    return this.knowledge.stateLoaded && !this.knowledge.isLive(job);
  }

  /** Logs when the right to answer reports begins and ends, and why. */
  noteRenewal(decision: Decision): void {
    const outcome = decision.granted ? 'granted' : decision.reason;
    if (outcome === this.lastRenewal) return;
    this.lastRenewal = outcome;
    const fields = { outcome, ...evidenceFields(decision.evidence) };
    this.runtime.env.log('info', fields, 'renewal authority changed');
  }

  private decide(limit: Duration): Decision {
    const held = this.lease.validLease();
    if (!held) return refused('no_lease');
    if (this.knowledge.closed) return refused('term_over');
    if (!this.knowledge.stateLoaded) return refused('jobs_not_read');
    const { cancellationsKnownUntil: knownTo } = this.knowledge;
    const evidence: Evidence = { source: 'job watch', age: this.runtime.now - knownTo, limit };
    if (!isFresh(evidence)) return refused('knowledge_stale', evidence);
    const validUntil = Math.min(held.validUntil, knownTo + limit);
    return { granted: true, fencingToken: held.fencingToken, validUntil, evidence };
  }
}
