import assert from 'node:assert/strict';
import type { Call } from '@tealdock/controller';
import { job, type FakeWorker, type SimulatedCluster } from '../index.js';
import { onEachDeployment, start } from './deployments.js';
import {
  A,
  after,
  ask,
  begun,
  crashLeader,
  endsWell,
  idOf,
  insist,
  others,
  pollAll,
  running,
  status,
  submitted,
} from './steps.js';

// Dependent jobs that meet other faults.

const LIMIT = 400_000;

const workersOf = (cluster: SimulatedCluster, n: number): FakeWorker[] =>
  [...cluster.workers.values()].filter((w) => w.tasks.some((t) => t.piece.startsWith(idOf(n))));

onEachDeployment(
  'a predecessor is cancelled by two nodes as its last task ends, and a third takes dependents',
  (times) => {
    for (const crashes of [false, true]) {
      for (let moment = 0; moment <= 2000; moment += 200) {
        const cluster = start(times, { runTime: 3000 }, 2);
        submitted(cluster, 1, { batch: 1 });
        submitted(cluster, 2, { batch: 1, ...after(1) });
        assert.ok(cluster.runUntil(() => cluster.checker.doneTasks(A).size === 1, 20_000));
        cluster.run(moment);
        const [b, c] = others(cluster);
        const leader = cluster.leader()!;
        if (crashes) crashLeader(cluster);
        cluster.cancel(A, b!);
        cluster.cancel(A, c!);
        cluster.submit(job(3, { batch: 1, ...after(1) }), crashes ? b! : leader);
        cluster.submit(job(4, { batch: 1, ...after(2) }), c!);
        pollAll(cluster, [1, 2], [b!, c!]);
        cluster.run(100);
        insist(cluster, 3, { batch: 1, ...after(1) });
        insist(cluster, 4, { batch: 1, ...after(2) });
        cluster.run(12_000);
        endsWell(cluster, [1, 2, 3, 4]);
        const ends = new Set([1, 2, 3, 4].map((n) => cluster.checker.finalStatus(idOf(n))));
        assert.equal(ends.size, 1, `${[...ends].join(' and ')} after ${moment} ms`);
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
    name: 'get no answers',
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
    name: 'have copies of their heartbeats come late',
    begin: (cluster) => (cluster.fleet.duplicateDelay = () => 2000 + cluster.random() * 40_000),
    end: (cluster) => (cluster.fleet.duplicateDelay = null),
  },
];

for (const { name, begin, end } of MACHINE_FAULTS) {
  onEachDeployment(
    `machines that run a predecessor ${name}: its dependents wait for its end`,
    (times) => {
      for (const length of [6000, times.lease + 8000, 2 * times.lease + 20_000]) {
        for (const crashes of [false, true]) {
          const cluster = start(times, { runTimeOf: (p) => (p.startsWith(A) ? 9000 : 3000) }, 6);
          submitted(cluster, 1, { batch: 4, expected_s: 9 });
          submitted(cluster, 2, { batch: 2, ...after(1) });
          submitted(cluster, 3, { batch: 2, ...after(2, 1) });
          assert.ok(cluster.runUntil(() => running(cluster) === 4, 20_000));
          const affected = workersOf(cluster, 1);
          begin(cluster, affected);
          if (crashes) cluster.at(5000, () => crashLeader(cluster));
          cluster.run(length);
          end(cluster, affected);
          endsWell(cluster, [1, 2, 3]);
          for (const n of [1, 2, 3])
            assert.equal(cluster.checker.finalStatus(idOf(n)), 'done', idOf(n));
        }
      }
    },
  );
}

for (const leads of [true, false]) {
  const name = leads ? 'an outage' : 'an outage, with no leader to end the rest';
  onEachDeployment(
    `the head of a chain of hundreds is cancelled under low limits and ${name}`,
    (times) => {
      const limits = { sockets: 1500, requestsPerSecond: 100, writesPerSecond: 15 };
      const next = { maxValueBytes: 2048, maxTransactionWrites: 4 };
      const cluster = start(
        times,
        { capacity: 8, runTime: LIMIT, limits, announcedLimits: next },
        8,
      );
      const [wide, deep] = [110, 90];
      submitted(cluster, 1, { batch: 1, expected_s: 400 });
      for (let i = 0; i < wide; i++) submitted(cluster, 2 + i, { batch: 1, ...after(1) });
      for (let i = 0; i < deep; i++) {
        submitted(cluster, 500 + i, { batch: 1, ...after(i === 0 ? 2 : 499 + i, 3 + i) });
      }
      cluster.lowerStateLimits();
      const all = [...Array(wide).keys()].map((i) => 2 + i);
      all.push(...[...Array(deep).keys()].map((i) => 500 + i));
      const [b, c] = others(cluster);
      if (!leads) {
        // Whoever led goes, and the others can't write the leader's key.
        const election = (call: Call) =>
          JSON.stringify(call.body ?? '').includes('tealdock/leader');
        cluster.stateLink.fault = (_node, call) => (election(call) ? 'lost_before' : undefined);
        cluster.crash(cluster.leader()!);
      }
      assert.equal(status(ask(cluster, (d) => cluster.cancel(A, b!, d))), 'aborted');
      cluster.state.down = true;
      cluster.run(10_000);
      cluster.state.restore();
      // Users ask about every five seconds, each of them some node.
      for (let round = 0; round * 5000 < times.cancellationLimit; round++) {
        for (const [i, n] of all.entries()) {
          if (cluster.checker.finalStatus(idOf(n)) !== null) continue;
          const nodes = [...cluster.processes.running.keys()];
          cluster.at((i * 5000) / all.length, () =>
            cluster.poll(idOf(n), nodes[(n + round) % nodes.length]!),
          );
        }
        cluster.run(5000);
      }
      for (const n of all) assert.equal(cluster.checker.finalStatus(idOf(n)), 'aborted', idOf(n));
      for (const [i, n] of all.entries()) {
        const again = job(n, { batch: 1 });
        cluster.at(i * 40, () => cluster.submit(again, i % 2 ? b! : c!));
      }
      cluster.run(all.length * 40 + 3000);
      assert.ok(!all.some((n) => begun(cluster, n)));
      endsWell(cluster, [1, ...all]);
    },
  );
}

onEachDeployment(
  'a chain is submitted over minutes, its last job when terms and their jobs are long over',
  (times) => {
    const cluster = start(times, { runTime: 2000 }, 3);
    const last = 9;
    for (let n = 1; n < last; n++) {
      submitted(cluster, n, { batch: 1, ...(n > 1 ? after(n - 1) : {}) });
      cluster.run(9000);
      crashLeader(cluster, 400);
      cluster.run(11_000);
    }
    for (const node of cluster.nodeNames) cluster.crash(node);
    cluster.run(times.lease + 5000);
    for (const node of cluster.nodeNames) cluster.boot(node);
    cluster.run(9000);
    const everyone = Array.from({ length: last - 1 }, (_, i) => i + 1);
    submitted(cluster, last, { batch: 2, urgency: 'urgent', ...after(...everyone) });
    const from = cluster.now();
    assert.ok(
      cluster.runUntil(() => begun(cluster, last), 15_000),
      'its predecessors are over',
    );
    assert.ok(cluster.now() - from < 15_000);
    endsWell(cluster, [...everyone, last]);
  },
);
