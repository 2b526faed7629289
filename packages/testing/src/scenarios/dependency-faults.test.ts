import assert from 'node:assert/strict';
import type { Call } from '@tealdock/controller';
import { job, type FakeWorker, type SimulatedCluster } from '../index.js';
import { testOnEachDeployment, readyDeployment } from './deployments.js';
import {
  JOB1,
  waitsOn,
  replyTo,
  hasStarted,
  crashLeader,
  assertRecovery,
  jobId,
  submitWithRetries,
  followers,
  pollAll,
  runningTaskCount,
  statusOf,
  submitAccepted,
} from './steps.js';

// Jobs with predecessors, combined with other faults.

const LONG_RUN_TIME_MS = 400_000;

const workersWithTasksOf = (cluster: SimulatedCluster, n: number): FakeWorker[] =>
  [...cluster.workers.values()].filter((w) => w.tasks.some((t) => t.piece.startsWith(jobId(n))));

testOnEachDeployment(
  'all dependents get the final status of a job that two nodes cancel as its last task ends',
  (times) => {
    for (const crashes of [false, true]) {
      for (let delay = 0; delay <= 2000; delay += 200) {
        const cluster = readyDeployment(times, { runTime: 3000 }, 2);
        submitAccepted(cluster, 1, { batch: 1 });
        submitAccepted(cluster, 2, { batch: 1, ...waitsOn(1) });
        assert.ok(cluster.runUntil(() => cluster.checker.doneTasks(JOB1).size === 1, 20_000));
        cluster.run(delay);
        const [b, c] = followers(cluster);
        const leader = cluster.leader()!;
        if (crashes) crashLeader(cluster);
        cluster.cancel(JOB1, b!);
        cluster.cancel(JOB1, c!);
        cluster.submit(job(3, { batch: 1, ...waitsOn(1) }), crashes ? b! : leader);
        cluster.submit(job(4, { batch: 1, ...waitsOn(2) }), c!);
        pollAll(cluster, [1, 2], [b!, c!]);
        cluster.run(100);
        submitWithRetries(cluster, 3, { batch: 1, ...waitsOn(1) });
        submitWithRetries(cluster, 4, { batch: 1, ...waitsOn(2) });
        cluster.run(12_000);
        assertRecovery(cluster, [1, 2, 3, 4]);
        const ends = new Set([1, 2, 3, 4].map((n) => cluster.checker.finalStatus(jobId(n))));
        assert.equal(ends.size, 1, `${[...ends].join(' and ')} after ${delay} ms`);
      }
    }
  },
);

interface MachineFault {
  name: string;
  begin: (cluster: SimulatedCluster, workers: FakeWorker[]) => void;
  end: (cluster: SimulatedCluster, workers: FakeWorker[]) => void;
}

const MACHINE_FAULTS: MachineFault[] = [
  {
    name: 'receive no responses',
    begin: (cluster, workers) =>
      workers.forEach((w) => cluster.network.cutResponsesTo(w.machine.id)),
    end: (cluster, workers) =>
      workers.forEach((w) => cluster.network.restoreResponsesTo(w.machine.id)),
  },
  {
    name: 'reach no controller',
    begin: (cluster, workers) =>
      workers.forEach((w) => cluster.network.cutHeartbeatsOf(w.machine.id)),
    end: (cluster, workers) =>
      workers.forEach((w) => cluster.network.restoreHeartbeatsOf(w.machine.id)),
  },
  {
    name: 'hang',
    begin: (_cluster, workers) => workers.forEach((w) => (w.isHung = true)),
    end: (_cluster, workers) => workers.forEach((w) => (w.isHung = false)),
  },
  {
    name: 'have their heartbeats delivered again late',
    begin: (cluster) => (cluster.fleet.duplicateDelay = () => 2000 + cluster.random() * 40_000),
    end: (cluster) => (cluster.fleet.duplicateDelay = null),
  },
];

for (const { name, begin, end } of MACHINE_FAULTS) {
  testOnEachDeployment(
    `dependents wait for the end of a predecessor whose machines ${name}`,
    (times) => {
      for (const length of [6000, times.lease + 8000, 2 * times.lease + 20_000]) {
        for (const crashes of [false, true]) {
          const cluster = readyDeployment(
            times,
            { runTimeOf: (p) => (p.startsWith(JOB1) ? 9000 : 3000) },
            6,
          );
          submitAccepted(cluster, 1, { batch: 4, expected_s: 9 });
          submitAccepted(cluster, 2, { batch: 2, ...waitsOn(1) });
          submitAccepted(cluster, 3, { batch: 2, ...waitsOn(2, 1) });
          assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 4, 20_000));
          const affected = workersWithTasksOf(cluster, 1);
          begin(cluster, affected);
          if (crashes) cluster.at(5000, () => crashLeader(cluster));
          cluster.run(length);
          end(cluster, affected);
          assertRecovery(cluster, [1, 2, 3]);
          for (const n of [1, 2, 3])
            assert.equal(cluster.checker.finalStatus(jobId(n)), 'done', jobId(n));
        }
      }
    },
  );
}

for (const hasLeader of [true, false]) {
  const name = hasLeader ? 'an outage' : 'an outage without a leader';
  testOnEachDeployment(
    `hundreds of dependents of a cancelled job end in time under low limits and ${name}`,
    (times) => {
      const limits = { sockets: 1500, requestsPerSecond: 100, writesPerSecond: 15 };
      const announcedLimits = { maxValueBytes: 2048, maxTransactionWrites: 4 };
      const cluster = readyDeployment(
        times,
        { capacity: 8, runTime: LONG_RUN_TIME_MS, limits, announcedLimits },
        8,
      );
      const [wide, deep] = [110, 90];
      submitAccepted(cluster, 1, { batch: 1, expected_s: 400 });
      for (let i = 0; i < wide; i++) submitAccepted(cluster, 2 + i, { batch: 1, ...waitsOn(1) });
      for (let i = 0; i < deep; i++) {
        submitAccepted(cluster, 500 + i, { batch: 1, ...waitsOn(i === 0 ? 2 : 499 + i, 3 + i) });
      }
      cluster.lowerStateLimits();
      const all = [...Array(wide).keys()].map((i) => 2 + i);
      all.push(...[...Array(deep).keys()].map((i) => 500 + i));
      const [b, c] = followers(cluster);
      if (!hasLeader) {
        // The leader crashes, and the other nodes can't write the leader key.
        const isElection = (call: Call) =>
          JSON.stringify(call.body ?? '').includes('tealdock/leader');
        cluster.stateLink.fault = (_node, call) => (isElection(call) ? 'lost_before' : undefined);
        cluster.crash(cluster.leader()!);
      }
      assert.equal(statusOf(replyTo(cluster, (d) => cluster.cancel(JOB1, b!, d))), 'aborted');
      cluster.state.down = true;
      cluster.run(10_000);
      cluster.state.restore();
      // Every five seconds users poll each unfinished job once, at varying nodes.
      for (let round = 0; round * 5000 < times.cancellationLimit; round++) {
        for (const [i, n] of all.entries()) {
          if (cluster.checker.finalStatus(jobId(n)) !== null) continue;
          const nodes = [...cluster.processes.running.keys()];
          cluster.at((i * 5000) / all.length, () =>
            cluster.poll(jobId(n), nodes[(n + round) % nodes.length]!),
          );
        }
        cluster.run(5000);
      }
      for (const n of all) assert.equal(cluster.checker.finalStatus(jobId(n)), 'aborted', jobId(n));
      for (const [i, n] of all.entries()) {
        const again = job(n, { batch: 1 });
        cluster.at(i * 40, () => cluster.submit(again, i % 2 ? b! : c!));
      }
      cluster.run(all.length * 40 + 3000);
      assert.ok(!all.some((n) => hasStarted(cluster, n)));
      assertRecovery(cluster, [1, ...all]);
    },
  );
}

testOnEachDeployment(
  'a job whose predecessors all ended in earlier terms starts at once',
  (times) => {
    const cluster = readyDeployment(times, { runTime: 2000 }, 3);
    const last = 9;
    for (let n = 1; n < last; n++) {
      submitAccepted(cluster, n, { batch: 1, ...(n > 1 ? waitsOn(n - 1) : {}) });
      cluster.run(9000);
      crashLeader(cluster, 400);
      cluster.run(11_000);
    }
    for (const node of cluster.nodeNames) cluster.crash(node);
    cluster.run(times.lease + 5000);
    for (const node of cluster.nodeNames) cluster.boot(node);
    cluster.run(9000);
    const predecessors = Array.from({ length: last - 1 }, (_, i) => i + 1);
    submitAccepted(cluster, last, { batch: 2, urgency: 'urgent', ...waitsOn(...predecessors) });
    const from = cluster.now();
    assert.ok(
      cluster.runUntil(() => hasStarted(cluster, last), 15_000),
      'all its predecessors have ended',
    );
    assert.ok(cluster.now() - from < 15_000);
    assertRecovery(cluster, [...predecessors, last]);
  },
);
