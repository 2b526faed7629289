/** Priority and deadline that jobs inherit from their dependents. */
import type { Duration, Instant, Priority } from '@tealdock/wire';
import { higherPriority } from './job-ordering.js';

/** An unfinished job in the dependency graph. */
export interface GraphJob {
  id: string;
  predecessors: string[];
  priority: Priority;
  /** The job's own deadline; Infinity without one. */
  finishBy: Instant;
  /** Expected run time. */
  runTime: Duration;
}

/** Effective priority and deadline of a job, derived from its own and those of its dependents. */
export type DependentDemand = Pick<GraphJob, 'priority' | 'finishBy'>;

interface GraphNode {
  job: GraphJob;
  demand: DependentDemand;
  /** Number of dependents whose demand has not been applied to this job yet. */
  pendingDependentCount: number;
}

/**
 * Returns demands by job id. The effective priority of a job is the highest among itself and all
 * its unfinished dependents. Its effective deadline leaves each dependent enough time to run
 * before that dependent's own deadline.
 */
export function dependentDemands(jobs: Iterable<GraphJob>): Map<string, DependentDemand> {
  const nodes = new Map<string, GraphNode>();
  for (const job of jobs) {
    const { priority, finishBy } = job;
    nodes.set(job.id, { job, demand: { priority, finishBy }, pendingDependentCount: 0 });
  }
  const predecessors = ({ job }: GraphNode) => job.predecessors.flatMap((p) => nodes.get(p) ?? []);
  for (const node of nodes.values()) for (const p of predecessors(node)) p.pendingDependentCount++;
  // Reverse topological order: each job is processed after all of its dependents.
  const ready = [...nodes.values()].filter((node) => node.pendingDependentCount === 0);
  for (let node = ready.pop(); node; node = ready.pop()) {
    const { job, demand } = node;
    for (const predecessor of predecessors(node)) {
      predecessor.demand.priority = higherPriority(predecessor.demand.priority, demand.priority);
      predecessor.demand.finishBy = Math.min(
        predecessor.demand.finishBy,
        demand.finishBy - job.runTime,
      );
      predecessor.pendingDependentCount--;
      if (predecessor.pendingDependentCount === 0) ready.push(predecessor);
    }
  }
  return new Map([...nodes].map(([id, { demand }]) => [id, demand]));
}
