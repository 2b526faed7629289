/** Checks whether a direct or indirect predecessor of a job was cancelled. */
import type { Duration, Instant } from '@tealdock/wire';
import { BoundedMap } from '../runtime/bounded.js';
import type { Runtime } from '../runtime/runtime.js';
import { outcomeOf, type JobLookup, type LookupOutcome } from './job-lookup.js';

/**
 * `unknown`: this node has not recorded the job's live key, some ancestor could not be looked up or
 * was not found, or there were more ancestors than one check may look up. The results so far are
 * cached, so a later check gets further.
 */
export type AncestorVerdict = 'none_cancelled' | 'cancelled' | 'unknown';

/** Limits of one check: keys that it reads in total, and proofs that it requests together. */
const MAX_READ_COUNT = 40;
const MAX_PROOF_COUNT = 400;
/** Upper limit of the time for which a proof that a job is live is reused. */
const MAX_LIVE_PROOF_TTL_MS: Duration = 15_000;
/** A proof is not reused for longer than the cancellation limit divided by this. */
const MIN_PROOFS_PER_LIMIT_COUNT = 3;
const MAX_REMEMBERED_PROOF_COUNT = 5000;

/** Ancestors of a job whose state a check still has to look up. */
interface UnresolvedAncestors {
  /** This node has read their keys, and has to prove that they are still live. */
  readonly unproven: string[];
  /** This node has yet to read their keys, which name further ancestors. */
  readonly unread: string[];
  readonly isAnyCancelled: boolean;
}

/**
 * Checks whether any ancestor of a live job was cancelled. It looks up the ancestors' keys, so
 * every node can do it. Checks share their results: a job that was proven live counts as not
 * cancelled for a fraction of the cancellation limit, within which the end of its dependents has
 * to become visible.
 */
export class AncestorCheck {
  /** When the lookup was sent that last proved a job live, by job id. */
  private readonly provenLiveAt = new BoundedMap<string, Instant>(MAX_REMEMBERED_PROOF_COUNT);

  constructor(
    private readonly runtime: Runtime,
    private readonly jobs: Pick<JobLookup, 'finalState' | 'predecessorsOf' | 'locate'>,
  ) {}

  /** Calls back once, immediately if no ancestor has to be looked up. */
  check(
    id: string,
    onResult: (verdict: AncestorVerdict) => void,
    readsLeft = MAX_READ_COUNT,
  ): void {
    const predecessors = this.jobs.predecessorsOf(id);
    if (!predecessors) return onResult('unknown');
    const { unproven, unread, isAnyCancelled } = this.unresolvedAncestors(predecessors);
    if (isAnyCancelled) return onResult('cancelled');
    const asked = [...unproven.slice(0, MAX_PROOF_COUNT), ...unread.slice(0, readsLeft)];
    if (asked.length === 0) return onResult('none_cancelled');
    const areAllAsked = asked.length === unproven.length + unread.length;
    this.locateAll(asked, (outcomes) => {
      if (outcomes.has('cancelled')) onResult('cancelled');
      else if (!areAllAsked || outcomes.has('unknown') || outcomes.has('none')) onResult('unknown');
      // The keys that were read may show further ancestors.
      else this.check(id, onResult, readsLeft - unread.length);
    });
  }

  private locateAll(ids: string[], onResult: (outcomes: ReadonlySet<LookupOutcome>) => void): void {
    const outcomes = new Set<LookupOutcome>();
    const askedAt = this.runtime.now;
    let pendingCount = ids.length;
    for (const id of ids) {
      this.jobs.locate(id, (result) => {
        outcomes.add(outcomeOf(result));
        if (result.kind === 'live') this.provenLiveAt.set(id, askedAt);
        pendingCount--;
        if (pendingCount === 0) onResult(outcomes);
      });
    }
  }

  /**
   * Walks all known ancestors. It does not follow those of a job that is done, since all of its
   * own predecessors must have been done as well.
   */
  private unresolvedAncestors(predecessors: string[]): UnresolvedAncestors {
    const unproven: string[] = [];
    const unread: string[] = [];
    let isAnyCancelled = false;
    const visited = new Set<string>();
    const next = [...predecessors];
    for (let id = next.pop(); id !== undefined; id = next.pop()) {
      if (visited.has(id)) continue;
      visited.add(id);
      const finalState = this.jobs.finalState(id);
      if (finalState === 'cancelled') isAnyCancelled = true;
      if (finalState !== undefined) continue;
      const further = this.jobs.predecessorsOf(id);
      if (further) next.push(...further);
      if (!further) unread.push(id);
      else if (!this.wasProvenLiveRecently(id)) unproven.push(id);
    }
    return { unproven, unread, isAnyCancelled };
  }

  private wasProvenLiveRecently(id: string): boolean {
    const { cancellationLimit } = this.runtime.settings;
    const ttl = Math.min(MAX_LIVE_PROOF_TTL_MS, cancellationLimit / MIN_PROOFS_PER_LIMIT_COUNT);
    return this.runtime.now - (this.provenLiveAt.get(id) ?? -Infinity) <= ttl;
  }
}
