/** Proofs that the jobs of a worker's tasks are live, cached across heartbeats. */
import type { Instant } from '@tealdock/wire';
import type { Liveness } from '../jobs/job-lookup.js';
import { BoundedMap } from '../runtime/bounded.js';
import type { Runtime } from '../runtime/runtime.js';
import { maxStaleness } from './freshness.js';

/** A proof of liveness is reused for this long, or for the maximum staleness if that is shorter. */
const PROOF_VALIDITY_MS = 2000;
const MAX_REMEMBERED_PROOF_COUNT = 5000;

/** The ended ones among the jobs asked for; `unknown` if the state of any of them is unknown. */
export type EndedJobsResult =
  { kind: 'known'; endedJobs: ReadonlySet<string> } | { kind: 'unknown' };

/** Asks the state service about a job. The result was true at some moment after the call. */
export type ProveLiveness = (job: string, onResult: (liveness: Liveness) => void) => void;

/** Determines which jobs have ended, and caches proofs that jobs are live for a short time. */
export class JobLiveness {
  /** By job: when the request was sent that proved the job live. */
  private readonly provenAt = new BoundedMap<string, Instant>(MAX_REMEMBERED_PROOF_COUNT);

  constructor(
    private readonly runtime: Runtime,
    private readonly prove: ProveLiveness,
  ) {}

  /** Determines which of the jobs have ended; calls back once, without delay if all are cached. */
  findEnded(jobs: string[], onResult: (result: EndedJobsResult) => void): void {
    const unproven = jobs.filter((job) => !this.wasProvenRecently(job));
    const endedJobs = new Set<string>();
    if (unproven.length === 0) return onResult({ kind: 'known', endedJobs });
    let pendingCount = unproven.length;
    let allKnown = true;
    for (const job of unproven) {
      const askedAt = this.runtime.now;
      this.prove(job, (liveness) => {
        if (liveness === 'live') this.provenAt.set(job, askedAt);
        else if (liveness === 'ended') endedJobs.add(job);
        else allKnown = false;
        pendingCount--;
        if (pendingCount === 0)
          onResult(allKnown ? { kind: 'known', endedJobs } : { kind: 'unknown' });
      });
    }
  }

  private wasProvenRecently(job: string): boolean {
    const provenAt = this.provenAt.get(job);
    if (provenAt === undefined) return false;
    const validity = Math.min(PROOF_VALIDITY_MS, maxStaleness(this.runtime.settings));
    if (this.runtime.now - provenAt <= validity) return true;
    this.provenAt.delete(job);
    return false;
  }
}
