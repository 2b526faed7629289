import { busy, onEachDeployment } from './deployments.js';
import { cancelled, endsWell, idOf, others } from './steps.js';
import type { DeploymentTimes } from '../simulation/cluster-options.js';

const SEEDS = Array.from({ length: 20 }, (_, i) => i + 1);
/** How long after an outage the state service still tells the leader nothing of jobs. */
const STILL_SILENT = 2000;
/** Longer than any watch that is open when the silence begins. */
const WATCHES_ARE_OVER = 2500;

/**
 * Users cancel at a node just before an outage that lasts longer than a cancellation may take.
 * The leader's questions about changes stay unanswered from before the cancellation until
 * just after the outage, while its lease is whole again as soon as the service is back. Another
 * node can't tell the leader either: controllers don't hear each other.
 */
function play(times: DeploymentTimes, seed: number, at: 'leader' | 'other'): void {
  const cluster = busy(times, 3, 4, { expected_s: 300 }, { seed });
  const leader = cluster.leader()!;
  if (at === 'other')
    for (const a of cluster.nodeNames)
      for (const b of cluster.nodeNames) cluster.network.cuts.add(`${a}>${b}`);
  for (const n of [1, 2]) {
    cluster.stateLink.fault = (node, call) =>
      node === leader && call.path.startsWith('/changes') ? 'lost_before' : undefined;
    cluster.run(WATCHES_ARE_OVER);
    cluster.cancel(idOf(n), at === 'leader' ? leader : others(cluster)[0]!);
    cluster.run(100 + 20 * seed);
    cluster.state.down = true;
    cluster.run(times.cancellationLimit + 10_000 + 100 * seed);
    cluster.state.restore();
    cluster.run(STILL_SILENT);
    cluster.stateLink.fault = null;
    cluster.run(10_000);
    // Where the outage came before the answer, the user asks again.
    if (cluster.checker.finalStatus(idOf(n)) === null) cancelled(cluster, n, others(cluster)[0]!);
  }
  endsWell(cluster, [1, 2, 3]);
}

// Guarded against: the incident of the operators' records. A leader that an outage kept from
// hearing of a cancellation starts the job's task, or renews its lease, when the outage ends.
for (const at of ['leader', 'other'] as const) {
  onEachDeployment(`a job cancelled at the ${at} before an outage does not run on`, (times) => {
    for (const seed of SEEDS) play(times, seed, at);
  });
}
