/** Whether a job that another needs, directly or through others, was cancelled. */
import type { Duration, Instant } from '@tealdock/wire';
import { BoundedMap } from '../runtime/bounded.js';
import type { Runtime } from '../runtime/runtime.js';
import { outcomeOf, type JobLookup, type LookupOutcome } from './job-lookup.js';

/**
 * `unknown`: the state service could not be asked, or not about all ancestors at once. What
 * was found is kept, so that a later check gets further.
 */
export type AncestorVerdict = 'none_cancelled' | 'cancelled' | 'unknown';

/** What one check may cost at most. */
const MAX_READ_COUNT = 40;
const MAX_PROOF_COUNT = 400;
/** A job that was proven live is not asked about again for this long. */
const MAX_LIVE_PROOF_TTL_MS: Duration = 15_000;
/** It is asked about this many times within the cancellation limit at least. */
const MIN_PROOFS_PER_LIMIT_COUNT = 3;
const MAX_REMEMBERED_PROOF_COUNT = 5000;

/** What has to be found out about the ancestors of a job. */
interface OpenAncestors {
  /** Their keys were read; it has to be proven that they are still live. */
  readonly unproven: string[];
  /** Their keys have to be read, which shows further ancestors. */
  readonly unread: string[];
  readonly isOneCancelled: boolean;
}

/**
 * Whether any ancestor of a live job was cancelled. Answers come from the ancestors' keys,
 * on whichever node is asked. Checks share what they find: a job that was proven live counts
 * as not cancelled for a part of the time in which the end of its dependents has to show.
 */
export class AncestorCheck {
  /** When jobs were last proven live. */
  private readonly provenLiveAt = new BoundedMap<string, Instant>(MAX_REMEMBERED_PROOF_COUNT);

  constructor(
    private readonly runtime: Runtime,
    private readonly jobs: Pick<JobLookup, 'finalState' | 'predecessorsOf' | 'locate'>,
  ) {}

  /** Calls back once; at once if nothing has to be asked. */
  check(
    id: string,
    onResult: (verdict: AncestorVerdict) => void,
    readsLeft = MAX_READ_COUNT,
  ): void {
    const predecessors = this.jobs.predecessorsOf(id);
    if (!predecessors) return onResult('unknown');
    const { unproven, unread, isOneCancelled } = this.openAncestors(predecessors);
    if (isOneCancelled) return onResult('cancelled');
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

  /** Goes through all known ancestors; those that are known to be done have no need of it. */
  private openAncestors(predecessors: string[]): OpenAncestors {
    const unproven: string[] = [];
    const unread: string[] = [];
    let isOneCancelled = false;
    const visited = new Set<string>();
    const next = [...predecessors];
    for (let id = next.pop(); id !== undefined; id = next.pop()) {
      if (visited.has(id)) continue;
      visited.add(id);
      const finalState = this.jobs.finalState(id);
      if (finalState === 'cancelled') isOneCancelled = true;
      if (finalState !== undefined) continue;
      const further = this.jobs.predecessorsOf(id);
      if (further) next.push(...further);
      if (!further) unread.push(id);
      else if (!this.wasProvenLiveRecently(id)) unproven.push(id);
    }
    return { unproven, unread, isOneCancelled };
  }

  private wasProvenLiveRecently(id: string): boolean {
    const { cancellationLimit } = this.runtime.settings;
    const ttl = Math.min(MAX_LIVE_PROOF_TTL_MS, cancellationLimit / MIN_PROOFS_PER_LIMIT_COUNT);
    return this.runtime.now - (this.provenLiveAt.get(id) ?? -Infinity) <= ttl;
  }
}
