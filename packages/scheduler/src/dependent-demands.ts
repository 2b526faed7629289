import type { Duration, Instant, Priority } from '@tealdock/wire';
import { higher } from './order.js';

/** An unfinished job as its chain sees it. */
export interface GraphJob {
  id: string;
  predecessors: string[];
  priority: Priority;
  /** When it has to be done by its own deadline; Infinity without one. */
  finishBy: Instant;
  /** How long it is expected to run. */
  run: Duration;
}

/** What a job is to be treated as, for its own sake and that of all that need it. */
export type DependentDemand = Pick<GraphJob, 'priority' | 'finishBy'>;

/**
 * The priority of a job is the highest among itself and all unfinished jobs that need it;
 * it has to be done in time for each of these to run before its own end is due.
 */
export function dependentDemands(jobs: Iterable<GraphJob>): Map<string, DependentDemand> {
  const all = new Map<string, GraphJob>();
  for (const job of jobs) all.set(job.id, job);
  const demands = new Map<string, DependentDemand>();
  const dependents = new Map<string, number>();
  for (const { id, priority, finishBy } of all.values()) demands.set(id, { priority, finishBy });
  const known = (job: GraphJob) => job.predecessors.filter((p) => all.has(p));
  for (const job of all.values()) {
    for (const p of known(job)) dependents.set(p, (dependents.get(p) ?? 0) + 1);
  }
  // From the ends of the chains backwards: a job comes once all that need it have come.
  const next = [...all.values()].filter((job) => !dependents.has(job.id));
  for (let job = next.pop(); job; job = next.pop()) {
    const own = demands.get(job.id)!;
    for (const p of known(job)) {
      const before = demands.get(p)!;
      before.priority = higher(before.priority, own.priority);
      before.finishBy = Math.min(before.finishBy, own.finishBy - job.run);
      const left = dependents.get(p)! - 1;
      dependents.set(p, left);
      if (left === 0) next.push(all.get(p)!);
    }
  }
  return demands;
}
