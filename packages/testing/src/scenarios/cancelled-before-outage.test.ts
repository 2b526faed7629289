import { busyDeployment, testOnEachDeployment } from './deployments.js';
import { cancelAndConfirm, assertRecovery, jobId, followers } from './steps.js';
import type { DeploymentTimes } from '../simulation/cluster-options.js';

const SEEDS = Array.from({ length: 20 }, (_, i) => i + 1);
/** How long after an outage the leader's watch on jobs still gets no answer. */
const WATCH_FAULT_AFTER_OUTAGE_MS = 2000;
/** A watch request that is open when the fault begins has ended after this time. */
const MAX_OPEN_WATCH_MS = 2500;

/**
 * Cancels two jobs, each just before an outage of the state service that is longer than the
 * cancellation limit. The leader's watch requests get no answer from before the cancellation until
 * shortly after the outage, while its lease can be renewed as soon as the service is back. A job
 * that is cancelled at another node is not announced to the leader either, since controllers are
 * then cut off from each other.
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
    // If the outage came before the reply, the user cancels again.
    if (cluster.checker.finalStatus(jobId(n)) === null)
      cancelAndConfirm(cluster, n, followers(cluster)[0]!);
  }
  assertRecovery(cluster, [1, 2, 3]);
}

// Guards against an incident in the operators' records: a leader that did not learn of a
// cancellation because of an outage started the job's task, or renewed its lease, when the outage
// ended.
for (const at of ['leader', 'other'] as const) {
  testOnEachDeployment(
    `a job cancelled at the ${at} node just before an outage does not run on`,
    (times) => {
      for (const seed of SEEDS) cancelBeforeOutages(times, seed, at);
    },
  );
}
