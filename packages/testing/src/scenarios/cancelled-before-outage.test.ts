import { busyDeployment, testOnEachDeployment } from './deployments.js';
import { cancelAndConfirm, assertRecovery, jobId, followers } from './steps.js';
import type { DeploymentTimes } from '../simulation/cluster-options.js';

const SEEDS = Array.from({ length: 20 }, (_, i) => i + 1);
/** How long after an outage the state service still tells the leader nothing of jobs. */
const WATCH_FAULT_AFTER_OUTAGE_MS = 2000;
/** Longer than any watch that is open when the silence begins. */
const MAX_OPEN_WATCH_MS = 2500;

/**
 * Users cancel at a node just before an outage that lasts longer than a cancellation may take.
 * The leader's questions about changes stay unanswered from before the cancellation until
 * just after the outage, while its lease is whole again as soon as the service is back. Another
 * node can't tell the leader either: controllers don't hear each other.
 */
function cancelBeforeOutages(times: DeploymentTimes, seed: number, at: 'leader' | 'other'): void {
  const cluster = busyDeployment(times, 3, 4, { expected_s: 300 }, { seed });
  const leader = cluster.leader()!;
  if (at === 'other')
    for (const a of cluster.nodeNames)
      for (const b of cluster.nodeNames) cluster.network.cuts.add(`${a}>${b}`);
  for (const n of [1, 2]) {
    cluster.stateLink.fault = (node, call) =>
      node === leader && call.path.startsWith('/changes') ? 'lost_before' : undefined;
    cluster.run(MAX_OPEN_WATCH_MS);
    cluster.cancel(jobId(n), at === 'leader' ? leader : followers(cluster)[0]!);
    cluster.run(100 + 20 * seed);
    cluster.state.down = true;
    cluster.run(times.cancellationLimit + 10_000 + 100 * seed);
    cluster.state.restore();
    cluster.run(WATCH_FAULT_AFTER_OUTAGE_MS);
    cluster.stateLink.fault = null;
    cluster.run(10_000);
    // Where the outage came before the answer, the user asks again.
    if (cluster.checker.finalStatus(jobId(n)) === null)
      cancelAndConfirm(cluster, n, followers(cluster)[0]!);
  }
  assertRecovery(cluster, [1, 2, 3]);
}

// Guarded against: the incident of the operators' records. A leader that an outage kept from
// hearing of a cancellation starts the job's task, or renews its lease, when the outage ends.
for (const at of ['leader', 'other'] as const) {
  testOnEachDeployment(`a job cancelled at the ${at} before an outage does not run on`, (times) => {
    for (const seed of SEEDS) cancelBeforeOutages(times, seed, at);
  });
}
