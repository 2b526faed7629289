import assert from 'node:assert/strict';
import { job } from '../index.js';
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

// Two faults at the same time, with the times of both deployments.

testOnEachDeployment(
  'a zone with a controller is cut off for longer than the worker lease: the cluster recovers',
  (times) => {
    for (const withLeader of [true, false]) {
      const cluster = busyDeployment(times, 2, 4);
      const far = withLeader ? cluster.leader()! : followers(cluster)[0]!;
      const machines = workers(cluster).filter((w) => w.machine.zone === 'b');
      cluster.network.partition([far, ...machines.map((w) => w.machine.id)]);
      cluster.run(15_000);
      cluster.cancel(JOB1, far);
      cluster.run(times.lease + 20_000);
      assertRecovery(cluster, [1, 2]);
    }
  },
);

testOnEachDeployment(
  'a worker whose lease is renewed by a follower loses only its cancelled tasks',
  (times) => {
    const cluster = busyDeployment(times, 2, 4);
    const far = followers(cluster)[0]!;
    const machines = workers(cluster).filter((w) => w.machine.zone === 'b');
    cluster.network.partition([far, ...machines.map((w) => w.machine.id)]);
    cluster.run(15_000);
    cancelAndConfirm(cluster, 1, far);
    cluster.run(times.lease + 10_000);
    for (const w of machines) assert.equal(w.agentEpoch, 1, `${w.machine.id} kept its lease`);
    assert.equal(runningTaskCount(cluster), 4);
    assertRecovery(cluster, [1, 2]);
  },
);

testOnEachDeployment(
  'a cancellation, a poll and a repeated submission race with the last task: replies agree',
  (times) => {
    for (let delay = 0; delay <= 2000; delay += 100) {
      const cluster = readyDeployment(times, { runTime: 3000 }, 1);
      cluster.submit(job(1, { batch: 1 }), 'n-0');
      const exited = () => workers(cluster).some((w) => w.tasks.some((t) => t.status === 'exited'));
      assert.ok(cluster.runUntil(exited, 20_000));
      cluster.run(delay);
      const [b, c] = followers(cluster);
      cluster.cancel(JOB1, b!);
      cluster.poll(JOB1, c!);
      cluster.submit(job(1, { batch: 1 }), cluster.leader()!);
      cluster.poll(JOB1, b!);
      assertRecovery(cluster, [1]);
    }
  },
);

for (const outage of [false, true]) {
  const name = outage ? ', with outages in between' : '';
  testOnEachDeployment(
    `the leader crashes ten times in two minutes${name}: the cluster recovers`,
    (times) => {
      const cluster = busyDeployment(times, 3, 4);
      for (let i = 0; i < 10; i++) {
        const leader = cluster.leader();
        if (outage && i % 3 === 1) cluster.state.down = true;
        if (outage && i % 3 === 2) cluster.state.restore();
        if (i === 2 || i === 5) cluster.cancel(jobId(i === 2 ? 1 : 2), followers(cluster)[0]!);
        if (leader) cluster.crash(leader);
        cluster.at(6000, () => leader && cluster.boot(leader));
        cluster.run(12_000);
      }
      assertRecovery(cluster, [1, 2, 3]);
    },
  );
}

testOnEachDeployment(
  'two leaders and then all controllers crash, and one restarts at once: the cluster recovers',
  (times) => {
    for (const pause of [100, 400, 900]) {
      const cluster = busyDeployment(times, 2, 4);
      const first = cluster.leader()!;
      cluster.crash(first);
      cluster.run(times.leaderLease + 1500);
      cluster.boot(first);
      const second = cluster.leader();
      if (second) cluster.crash(second);
      cluster.run(pause);
      for (const n of cluster.nodeNames) cluster.crash(n);
      cluster.run(pause);
      cluster.boot(first);
      cluster.run(3000);
      cancelAndConfirm(cluster, 1, first);
      assertRecovery(cluster, [1, 2]);
    }
  },
);

testOnEachDeployment(
  'tasks that were done under earlier leaders are not started again by later ones',
  (times) => {
    const runTimeOf = (piece: string) => 4000 + Number(piece.split('/')[1]) * 25_000;
    const cluster = readyDeployment(times, { runTimeOf });
    for (let n = 1; n <= 6; n++) cluster.submit(job(n, { batch: 2 + (n % 2) }), 'n-0');
    for (let i = 0; i < 3; i++) {
      cluster.run(10_000);
      const leader = cluster.leader()!;
      cluster.crash(leader);
      cluster.at(6000, () => cluster.boot(leader));
    }
    assertRecovery(cluster, [1, 2, 3, 4, 5, 6]);
    assert.equal(cluster.checker.startCount, 15, 'no task was started again');
  },
);

testOnEachDeployment(
  'all controllers are down for longer than the worker lease: the cluster recovers',
  (times) => {
    const cluster = busyDeployment(times, 2, 4);
    cancelAndConfirm(cluster, 1, followers(cluster)[0]!);
    for (const n of cluster.nodeNames) cluster.crash(n);
    cluster.run(times.lease + 8000);
    for (const n of cluster.nodeNames) cluster.boot(n);
    assertRecovery(cluster, [1, 2]);
  },
);

testOnEachDeployment(
  'direct commands stop cancelled tasks on machines that can reach no controller',
  (times) => {
    const cluster = busyDeployment(times, 2, 6);
    const unreachable = workers(cluster).slice(0, 2);
    for (const w of unreachable) cluster.network.cutHeartbeatsOf(w.machine.id);
    cluster.run(times.heartbeatInterval * 2 + 1000);
    cancelAndConfirm(cluster, 1, followers(cluster)[0]!);
    cluster.run(2000);
    const left = unreachable.flatMap((w) => w.tasks).filter((t) => t.piece.startsWith(JOB1));
    assert.deepEqual(
      left.filter((t) => t.status !== 'exited'),
      [],
      'stopped by direct commands',
    );
    cluster.run(times.lease + 10_000);
    assert.ok(unreachable.every((w) => w.agentEpoch > 1));
    assertRecovery(cluster, [1, 2]);
  },
);

testOnEachDeployment(
  'jobs are cancelled through a new leader while the old one is isolated',
  (times) => {
    const cluster = busyDeployment(times, 3, 4);
    const old = cluster.leader()!;
    cluster.network.isolate(old);
    cluster.run(1000);
    cluster.cancel(JOB1, followers(cluster)[0]!);
    assert.ok(cluster.runUntil(() => ![old, null].includes(cluster.leader()), 20_000));
    cluster.cancel(jobId(2), cluster.leader()!);
    cluster.cancel(jobId(3), old);
    cluster.run(times.cancellationLimit + 5000);
    assert.equal(cluster.checker.finalStatus(jobId(2)), 'aborted');
    assertRecovery(cluster, [1, 2, 3]);
  },
);

testOnEachDeployment(
  'an overload of urgent and idle jobs over slow links: all jobs end',
  (times) => {
    const cluster = readyDeployment(times, { runTime: 8000 }, 3);
    cluster.fleet.extraLatency = 900;
    cluster.stateLink.extraDelay = () => (cluster.random() < 0.3 ? 600 : 0);
    const numbers = Array.from({ length: 24 }, (_, i) => i + 1);
    for (const n of numbers) {
      const urgency = n % 3 === 0 ? 'urgent' : 'idle';
      const overrides = { batch: 6, urgency, jobclass: urgency, expected_s: 8 };
      cluster.at(n * 1500, () => cluster.submit(job(n, overrides), cluster.nodeNames[n % 3]!));
    }
    cluster.at(30_000, () => cluster.cancel(jobId(4), 'n-1'));
    cluster.run(120_000);
    assertRecovery(cluster, numbers);
  },
);

testOnEachDeployment(
  'a team stays within its limit across a change of leader with unreachable machines',
  (times) => {
    const cluster = busyDeployment(times, 2, 4, {}, { cpuLimit: 8 });
    cluster.submit(job(3, { batch: 6, expected_s: 20 }), 'n-0');
    cluster.submit(job(4, { batch: 2, expected_s: 20, owner: 'other' }), 'n-0');
    const unreachable = workers(cluster).slice(0, 2);
    for (const w of unreachable) cluster.network.cuts.add(w.machine.id);
    const old = cluster.leader()!;
    cluster.crash(old);
    cluster.run(times.leaderLease + 1500);
    cluster.cancel(JOB1, [...cluster.processes.running.keys()][0]!);
    // Submitted within the new term, so it need not wait for the unreachable machines.
    cluster.submit(job(5, { batch: 6, expected_s: 20 }), [...cluster.processes.running.keys()][0]!);
    cluster.run(12_000);
    cluster.boot(old);
    cluster.run(times.lease + 10_000);
    assertRecovery(cluster, [1, 2, 3, 4, 5]);
    assert.ok(cluster.checker.maxCpusUsed('team') >= 8, 'the limit was reached');
  },
);

testOnEachDeployment(
  'the state service is slow, refuses the leader and then fails: cancelled jobs stop in time',
  (times) => {
    for (const refusedFor of [3000, 9000]) {
      const cluster = busyDeployment(times, 4, 3);
      cluster.stateLink.extraDelay = () => 300 + cluster.random() * 800;
      cluster.run(5000);
      const leader = cluster.leader()!;
      cluster.state.refusedNodes.add(leader);
      for (let n = 1; n <= 3; n++) {
        cluster.at(n * 700, () => cluster.cancel(jobId(n), cluster.nodeNames[n % 3]!));
        cluster.at(n * 900, () => cluster.poll(jobId(n), cluster.nodeNames[(n + 1) % 3]!));
      }
      cluster.run(refusedFor);
      cluster.state.down = true;
      cluster.run(times.cancellationLimit + 8000);
      assertRecovery(cluster, [1, 2, 3, 4]);
    }
  },
);

testOnEachDeployment(
  'jobs with zone and spread constraints end although all machines of a zone are reclaimed',
  (times) => {
    const cluster = readyDeployment(times, { runTime: 20_000 });
    cluster.submit(job(1, { batch: 6, same_place: true, expected_s: 20 }), 'n-0');
    cluster.submit(job(2, { batch: 6, hall: 'b', expected_s: 20 }), 'n-1');
    cluster.submit(job(3, { batch: 5, apart: true, expected_s: 20 }), 'n-2');
    assert.ok(cluster.runUntil(() => runningTaskCount(cluster) > 10, 40_000));
    for (const w of workers(cluster).filter((x) => x.machine.zone === 'b'))
      cluster.cloud.removeMachine(w.machine.id);
    cluster.run(times.lease);
    for (let i = 0; i < 2; i++) cluster.cloud.addMachine('b');
    assertRecovery(cluster, [1, 2, 3]);
  },
);

for (const lostTraffic of ['all', 'responses'] as const) {
  const name = lostTraffic === 'all' ? 'is unreachable' : 'receives no responses';
  testOnEachDeployment(
    `a new leader is ready although a machine with long tasks ${name}`,
    (times) => {
      for (const length of [10_000, times.lease + 20_000, 100_000]) {
        const cluster = busyDeployment(times, 2, 6);
        const victim = workers(cluster)[0]!.machine.id;
        if (lostTraffic === 'all') cluster.network.cuts.add(victim);
        else cluster.network.cutResponsesTo(victim);
        cluster.crash(cluster.leader()!);
        cluster.run(3000);
        const from = cluster.now();
        cluster.submit(
          job(3, { batch: 2, expected_s: 5 }),
          [...cluster.processes.running.keys()][0]!,
        );
        const ready = () =>
          cluster.logLines.filter((l) => l.message === 'machine registry reconciled').length;
        const before = ready();
        cluster.run(length);
        if (length > times.lease * 2) {
          assert.ok(
            ready() > before,
            'the registry is reconciled although the machine is still cut off',
          );
        }
        assert.ok(cluster.now() - from >= length);
        assertRecovery(cluster, [1, 2, 3]);
      }
    },
  );
}
