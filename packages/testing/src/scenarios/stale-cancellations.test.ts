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

/** The leader alone is refused, users cancel elsewhere, then the service is out for all. */
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
  'gap: a refused leader, cancellations confirmed elsewhere, then an outage',
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

// The rule must not rest on what controllers tell each other, nor on direct commands.
testOnEachDeployment('gap between controllers that do not hear each other', (times) => {
  for (const pause of [1000, 4000]) {
    const cluster = busyDeployment(times, 3, 4);
    for (const a of cluster.nodeNames)
      for (const b of cluster.nodeNames) cluster.network.cuts.add(`${a}>${b}`);
    for (const w of workers(cluster))
      cluster.network.cuts.add(`${cluster.leader()}>${w.machine.id}:1`);
    refuseLeaderThenOutage(cluster, pause, times.cancellationLimit + 12_000);
    assertRecovery(cluster, [1, 2, 3]);
  }
});

// Each outage ends just before the workers' leases do: the leader's own is whole again, and
// it may answer before it has been told of anything. Then the next outage begins.
testOnEachDeployment(
  'gap: leases made whole by short breaks of an outage renew nothing cancelled',
  (times) => {
    for (const availableFor of [300, 900, 1500]) {
      const cluster = busyDeployment(times, 3, 4);
      const leader = cluster.leader()!;
      for (const n of cluster.nodeNames) cluster.network.cuts.add(`${n}>${leader}`);
      // Renewals are answered, while all that tells of jobs is not.
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

testOnEachDeployment('gap: a machine hangs as its job is called off, and goes on', (times) => {
  for (const hang of [8000, times.lease - 2000, times.lease + 15_000]) {
    const cluster = busyDeployment(times, 2, 4);
    const hung = workers(cluster).slice(0, 2);
    for (const w of hung) w.isHung = true;
    cluster.at(hang, () => hung.forEach((w) => (w.isHung = false)));
    refuseLeaderThenOutage(cluster, 1000, times.cancellationLimit + 12_000);
    assertRecovery(cluster, [1, 2]);
  }
});

// Nothing tells the leader of jobs any more, while its lease is renewed.
testOnEachDeployment('no start leaves on stale knowledge of cancellations', (times) => {
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
  assert.equal(runningTaskCount(cluster), 0, 'there is room');
  assert.equal(cluster.checker.startsAfterCancellationCount, 0);
  assertRecovery(cluster, [1, 2]);
});

testOnEachDeployment(
  'a leader that an outage kept from answering is reachable and goes on',
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
  'gap: a start that waits in a long poll is not sent for a cancelled job',
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
  'gap: with peers in reach a cancelled job goes at once, and what it shares a machine with stays',
  (times) => {
    const cluster = busyDeployment(times, 2, 4);
    const leader = cluster.leader()!;
    cluster.state.refusedNodes.add(leader);
    cluster.run(200);
    cancelAndConfirm(cluster, 1, followers(cluster)[0]!);
    assert.equal(runningTaskCount(cluster), 4, 'within seconds the cancelled tasks are gone');
    cluster.run(8000);
    assert.equal(runningTaskCount(cluster), 4, 'the others run on');
    assertRecovery(cluster, [1, 2]);
  },
);
