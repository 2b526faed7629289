import assert from 'node:assert/strict';
import { job, type SimulatedCluster } from '../index.js';
import { busyDeployment, testOnEachDeployment, readyDeployment } from './deployments.js';
import {
  JOB1,
  cancelAndConfirm,
  assertRecovery,
  jobId,
  followers,
  runningTaskCount,
  workers,
} from './steps.js';

/**
 * The state service refuses the leader alone, jobs 1 and 2 are cancelled at the followers, and
 * `pause` ms after the refusal begins the service goes down for all nodes, for `outage` ms. The
 * refusal ends 14 s after its begin, during the outage.
 */
function refuseLeaderThenOutage(cluster: SimulatedCluster, pause: number, outage: number): void {
  const leader = cluster.leader()!;
  const [b, c] = followers(cluster);
  cluster.state.refusedNodes.add(leader);
  cluster.cancel(jobId(1), b!);
  cluster.at(pause / 2, () => cluster.cancel(jobId(2), c!));
  cluster.run(pause);
  cluster.state.down = true;
  cluster.run(14_000 - pause);
  cluster.state.refusedNodes.clear();
  cluster.run(outage - 14_000 + pause);
  cluster.state.restore();
}

testOnEachDeployment(
  'jobs cancelled while the state service refuses the leader stop in time despite an outage',
  (times) => {
    for (const pause of [200, 1000, 2500, 4000]) {
      const cluster = busyDeployment(times, 3, 4);
      refuseLeaderThenOutage(cluster, pause, times.cancellationLimit + 12_000);
      assert.equal(cluster.checker.finalStatus(JOB1), 'aborted');
      refuseLeaderThenOutage(cluster, pause, times.cancellationLimit + 12_000);
      assertRecovery(cluster, [1, 2, 3]);
    }
  },
);

// The cancellation limit must not depend on messages between controllers or on direct commands.
testOnEachDeployment(
  'jobs cancelled while the leader is refused stop in time without messages from peers',
  (times) => {
    for (const pause of [1000, 4000]) {
      const cluster = busyDeployment(times, 3, 4);
      for (const a of cluster.nodeNames)
        for (const b of cluster.nodeNames) cluster.network.cuts.add(`${a}>${b}`);
      for (const w of workers(cluster))
        cluster.network.cuts.add(`${cluster.leader()}>${w.machine.id}:1`);
      refuseLeaderThenOutage(cluster, pause, times.cancellationLimit + 12_000);
      assertRecovery(cluster, [1, 2, 3]);
    }
  },
);

// Each outage ends just before the workers' leases expire: the leader's own lease is valid again,
// so that it might answer heartbeats before it learns of the cancellation. Then the next outage
// begins.
testOnEachDeployment(
  'a leader that renews its lease between outages renews no lease of a cancelled task',
  (times) => {
    for (const availableFor of [300, 900, 1500]) {
      const cluster = busyDeployment(times, 3, 4);
      const leader = cluster.leader()!;
      for (const n of cluster.nodeNames) cluster.network.cuts.add(`${n}>${leader}`);
      // The leader's lease renewals are answered, while its other calls are not.
      cluster.stateLink.fault = (node, call) =>
        node === leader && !call.path.startsWith('/grants') ? 'lost_before' : undefined;
      cluster.run(3000);
      cluster.cancel(JOB1, followers(cluster)[0]!);
      cluster.run(500);
      for (let i = 0; i < 4; i++) {
        cluster.state.down = true;
        cluster.run(18_000);
        cluster.state.restore();
        cluster.run(availableFor);
      }
      assertRecovery(cluster, [1, 2, 3]);
    }
  },
);

testOnEachDeployment(
  'tasks of a job cancelled at a follower while their machine hangs are stopped in time',
  (times) => {
    for (const hang of [8000, times.lease - 2000, times.lease + 15_000]) {
      const cluster = busyDeployment(times, 2, 4);
      const hung = workers(cluster).slice(0, 2);
      for (const w of hung) w.isHung = true;
      cluster.at(hang, () => hung.forEach((w) => (w.isHung = false)));
      refuseLeaderThenOutage(cluster, 1000, times.cancellationLimit + 12_000);
      assertRecovery(cluster, [1, 2]);
    }
  },
);

// The leader no longer learns of changes to jobs, while it can still renew its lease.
testOnEachDeployment(
  'a leader whose knowledge of cancellations is stale starts no task',
  (times) => {
    const cluster = readyDeployment(times, { runTime: 12_000 }, 1);
    cluster.submit(job(1, { batch: 4 }), 'n-0');
    assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 4, 40_000));
    cluster.submit(job(2, { batch: 4 }), 'n-0');
    const leader = cluster.leader()!;
    cluster.run(8000);
    for (const n of cluster.nodeNames) cluster.network.cuts.add(`${n}>${leader}`);
    cluster.stateLink.fault = (node, call) =>
      node === leader && call.path.startsWith('/changes') ? 'lost_before' : undefined;
    cluster.run(2500);
    cancelAndConfirm(cluster, 2, followers(cluster)[0]!);
    assert.equal(runningTaskCount(cluster), 0, 'there is free capacity');
    assert.equal(cluster.checker.startsAfterCancellationCount, 0);
    assertRecovery(cluster, [1, 2]);
  },
);

testOnEachDeployment(
  'a leader that could not answer heartbeats during an outage does not resign afterwards',
  (times) => {
    const cluster = busyDeployment(times, 2, 4);
    const leader = cluster.leader()!;
    cluster.run(10_000);
    cluster.state.down = true;
    cluster.run(times.leaderLease + 8000);
    cluster.state.restore();
    cluster.run(4000);
    assert.equal(cluster.leader(), leader);
    assert.ok(!cluster.logLines.some((l) => l.message === 'leadership resigned'));
    assert.equal(runningTaskCount(cluster), 8);
    assertRecovery(cluster, [1, 2]);
  },
);

testOnEachDeployment(
  'a start that waits in a long poll is not sent for a job cancelled meanwhile',
  (times) => {
    const cluster = readyDeployment(times, {}, 1);
    cluster.submit(job(1, { batch: 4, expected_s: 150 }), 'n-0');
    assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 4, 40_000));
    cluster.submit(job(2, { batch: 4, expected_s: 150 }), 'n-0');
    cluster.run(2000);
    refuseLeaderThenOutage(cluster, 1000, times.cancellationLimit + 12_000);
    cluster.run(2000);
    const late = cluster.checker.startsAfterCancellationCount;
    assert.equal(late, 0, `${late} starts of cancelled jobs`);
    assertRecovery(cluster, [1, 2]);
  },
);

testOnEachDeployment(
  'a refused leader that peers inform of a cancellation stops that job at once and no other',
  (times) => {
    const cluster = busyDeployment(times, 2, 4);
    const leader = cluster.leader()!;
    cluster.state.refusedNodes.add(leader);
    cluster.run(200);
    cancelAndConfirm(cluster, 1, followers(cluster)[0]!);
    assert.equal(runningTaskCount(cluster), 4, 'the cancelled tasks are stopped within seconds');
    cluster.run(8000);
    assert.equal(runningTaskCount(cluster), 4, 'tasks of the other job run on');
    assertRecovery(cluster, [1, 2]);
  },
);
