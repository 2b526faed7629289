/** Priority and due time that jobs inherit from their dependents. */
import type { Duration, Instant, Priority } from '@tealdock/wire';
import { higherPriority } from './job-ordering.js';

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

interface GraphNode {
  job: GraphJob;
  demand: DependentDemand;
  /** Dependents whose demand is not taken into account yet. */
  dependentsLeft: number;
}

/**
 * The priority of a job is the highest among itself and all unfinished jobs that need it;
 * it has to be done in time for each of these to run before its own end is due.
 */
export function dependentDemands(jobs: Iterable<GraphJob>): Map<string, DependentDemand> {
  const nodes = new Map<string, GraphNode>();
  for (const job of jobs) {
    const { priority, finishBy } = job;
    nodes.set(job.id, { job, demand: { priority, finishBy }, dependentsLeft: 0 });
  }
  const predecessors = ({ job }: GraphNode) => job.predecessors.flatMap((p) => nodes.get(p) ?? []);
  for (const node of nodes.values()) for (const p of predecessors(node)) p.dependentsLeft++;
  // From the ends of the graph backwards: a job comes once all that need it have come.
  const next = [...nodes.values()].filter((node) => node.dependentsLeft === 0);
  for (let node = next.pop(); node; node = next.pop()) {
    const { job, demand } = node;
    for (const before of predecessors(node)) {
      before.demand.priority = higherPriority(before.demand.priority, demand.priority);
      before.demand.finishBy = Math.min(before.demand.finishBy, demand.finishBy - job.run);
      before.dependentsLeft--;
      if (before.dependentsLeft === 0) next.push(before);
    }
  }
  return new Map([...nodes].map(([id, { demand }]) => [id, demand]));
}
