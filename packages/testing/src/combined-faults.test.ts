import assert from 'node:assert/strict';
import {
  job,
  type FakeWorker,
  type DeploymentTimes,
  type SimulatedCluster,
  type ClusterOptions,
} from './index.js';
import { onEachDeployment, start } from './deployments.js';
import { A, ask, endsWell, idOf, others, running, status } from './scenario.js';

// Two faults at the same time, with the times of both deployments.

/** A cluster with `jobs` jobs of `tasks` long tasks each, all of which run. */
function busy(
  times: DeploymentTimes,
  jobs: number,
  tasks: number,
  over: Record<string, unknown> = {},
  options: ClusterOptions = {},
): SimulatedCluster {
  const cluster = start(times, options);
  for (let n = 1; n <= jobs; n++) {
    cluster.submit(job(n, { batch: tasks, expected_s: 150, ...over }), cluster.nodes[n % 3]!);
  }
  assert.ok(cluster.runUntil(() => running(cluster) === jobs * tasks, 40_000));
  return cluster;
}

const workers = (cluster: SimulatedCluster): FakeWorker[] => [...cluster.workers.values()];

const cancelled = (cluster: SimulatedCluster, n: number, node: string): void =>
  assert.equal(status(ask(cluster, (d) => cluster.cancel(idOf(n), node, d))), 'aborted');

/** The leader alone is refused, users cancel elsewhere, then the service is out for all. */
function gap(cluster: SimulatedCluster, pause: number, outage: number): void {
  const leader = cluster.leader()!;
  const [b, c] = others(cluster);
  cluster.state.refused.add(leader);
  cluster.cancel(idOf(1), b!);
  cluster.at(pause / 2, () => cluster.cancel(idOf(2), c!));
  cluster.run(pause);
  cluster.state.down = true;
  cluster.run(14_000 - pause);
  cluster.state.refused.clear();
  cluster.run(outage - 14_000 + pause);
  cluster.state.restore();
}

onEachDeployment(
  'gap: a refused leader, cancellations confirmed elsewhere, then an outage',
  (times) => {
    for (const pause of [200, 1000, 2500, 4000]) {
      const cluster = busy(times, 3, 4);
      gap(cluster, pause, times.cancelWithin + 12_000);
      assert.equal(cluster.checker.final(A), 'aborted');
      gap(cluster, pause, times.cancelWithin + 12_000);
      endsWell(cluster, [1, 2, 3]);
    }
  },
);

// The rule must not rest on what controllers tell each other, nor on direct commands.
onEachDeployment('gap between controllers that do not hear each other', (times) => {
  for (const pause of [1000, 4000]) {
    const cluster = busy(times, 3, 4);
    for (const a of cluster.nodes) for (const b of cluster.nodes) cluster.cuts.add(`${a}>${b}`);
    for (const w of workers(cluster)) cluster.cuts.add(`${cluster.leader()}>${w.machine.id}:1`);
    gap(cluster, pause, times.cancelWithin + 12_000);
    endsWell(cluster, [1, 2, 3]);
  }
});

// Each outage ends just before the workers' leases do: the leader's own is whole again, and
// it may answer before it has been told of anything. Then the next outage begins.
onEachDeployment(
  'gap: leases made whole by short breaks of an outage renew nothing cancelled',
  (times) => {
    for (const breath of [300, 900, 1500]) {
      const cluster = busy(times, 3, 4);
      const leader = cluster.leader()!;
      for (const n of cluster.nodes) cluster.cuts.add(`${n}>${leader}`);
      // Renewals are answered, while all that tells of jobs is not.
      cluster.stateFault = (node, call) =>
        node === leader && !call.path.startsWith('/grants') ? 'lost_before' : undefined;
      cluster.run(3000);
      cluster.cancel(A, others(cluster)[0]!);
      cluster.run(500);
      for (let i = 0; i < 4; i++) {
        cluster.state.down = true;
        cluster.run(18_000);
        cluster.state.restore();
        cluster.run(breath);
      }
      endsWell(cluster, [1, 2, 3]);
    }
  },
);

onEachDeployment('gap: a machine hangs as its job is called off, and goes on', (times) => {
  for (const hang of [8000, times.lease - 2000, times.lease + 15_000]) {
    const cluster = busy(times, 2, 4);
    const hung = workers(cluster).slice(0, 2);
    for (const w of hung) w.hanging = true;
    cluster.at(hang, () => hung.forEach((w) => (w.hanging = false)));
    gap(cluster, 1000, times.cancelWithin + 12_000);
    endsWell(cluster, [1, 2]);
  }
});

// Nothing tells the leader of jobs any more, while its lease is renewed.
onEachDeployment('no start leaves on stale knowledge of cancellations', (times) => {
  const cluster = start(times, { runTime: 12_000 }, 1);
  cluster.submit(job(1, { batch: 4 }), 'n-0');
  assert.ok(cluster.runUntil(() => running(cluster) === 4, 40_000));
  cluster.submit(job(2, { batch: 4 }), 'n-0');
  const leader = cluster.leader()!;
  cluster.run(8000);
  for (const n of cluster.nodes) cluster.cuts.add(`${n}>${leader}`);
  cluster.stateFault = (node, call) =>
    node === leader && call.path.startsWith('/changes') ? 'lost_before' : undefined;
  cluster.run(2500);
  cancelled(cluster, 2, others(cluster)[0]!);
  assert.equal(running(cluster), 0, 'there is room');
  assert.equal(cluster.checker.startsAfterCancel, 0);
  endsWell(cluster, [1, 2]);
});

onEachDeployment(
  'a leader that an outage kept from answering is reachable and goes on',
  (times) => {
    const cluster = busy(times, 2, 4);
    const leader = cluster.leader()!;
    cluster.run(10_000);
    cluster.state.down = true;
    cluster.run(times.leaderLease + 8000);
    cluster.state.restore();
    cluster.run(4000);
    assert.equal(cluster.leader(), leader);
    assert.ok(!cluster.log.some((l) => l.message === 'resigning leadership'));
    assert.equal(running(cluster), 8);
    endsWell(cluster, [1, 2]);
  },
);

onEachDeployment(
  'gap: a start that waits in a long poll is not sent for a cancelled job',
  (times) => {
    const cluster = start(times, {}, 1);
    cluster.submit(job(1, { batch: 4, expected_s: 150 }), 'n-0');
    assert.ok(cluster.runUntil(() => running(cluster) === 4, 40_000));
    cluster.submit(job(2, { batch: 4, expected_s: 150 }), 'n-0');
    cluster.run(2000);
    gap(cluster, 1000, times.cancelWithin + 12_000);
    cluster.run(2000);
    const late = cluster.checker.startsAfterCancel;
    assert.equal(late, 0, `${late} starts of cancelled jobs`);
    endsWell(cluster, [1, 2]);
  },
);

onEachDeployment(
  'gap: with peers in reach a cancelled job goes at once, and what it shares a machine with stays',
  (times) => {
    const cluster = busy(times, 2, 4);
    const leader = cluster.leader()!;
    cluster.state.refused.add(leader);
    cluster.run(200);
    cancelled(cluster, 1, others(cluster)[0]!);
    assert.equal(running(cluster), 4, 'within seconds the cancelled tasks are gone');
    cluster.run(8000);
    assert.equal(running(cluster), 4, 'the others run on');
    endsWell(cluster, [1, 2]);
  },
);

onEachDeployment(
  'a zone with workers and a controller is cut off for longer than the lease',
  (times) => {
    for (const leaderToo of [true, false]) {
      const cluster = busy(times, 2, 4);
      const far = leaderToo ? cluster.leader()! : others(cluster)[0]!;
      const machines = workers(cluster).filter((w) => w.machine.zone === 'b');
      cluster.part([far, ...machines.map((w) => w.machine.id)]);
      cluster.run(15_000);
      cluster.cancel(A, far);
      cluster.run(times.lease + 20_000);
      endsWell(cluster, [1, 2]);
    }
  },
);

onEachDeployment('a kept worker loses only what is called off', (times) => {
  const cluster = busy(times, 2, 4);
  const far = others(cluster)[0]!;
  const machines = workers(cluster).filter((w) => w.machine.zone === 'b');
  cluster.part([far, ...machines.map((w) => w.machine.id)]);
  cluster.run(15_000);
  cancelled(cluster, 1, far);
  cluster.run(times.lease + 10_000);
  for (const w of machines) assert.equal(w.shift, 1, `${w.machine.id} kept its lease`);
  assert.equal(running(cluster), 4);
  endsWell(cluster, [1, 2]);
});

onEachDeployment(
  'a cancellation, a question and a repeated submission meet the end of the last task',
  (times) => {
    for (let moment = 0; moment <= 2000; moment += 100) {
      const cluster = start(times, { runTime: 3000 }, 1);
      cluster.submit(job(1, { batch: 1 }), 'n-0');
      const exited = () => workers(cluster).some((w) => w.tasks.some((t) => t.status === 'exited'));
      assert.ok(cluster.runUntil(exited, 20_000));
      cluster.run(moment);
      const [b, c] = others(cluster);
      cluster.cancel(A, b!);
      cluster.poll(A, c!);
      cluster.submit(job(1, { batch: 1 }), cluster.leader()!);
      cluster.poll(A, b!);
      endsWell(cluster, [1]);
    }
  },
);

onEachDeployment(
  'a command or its answer is held up for seconds, and the machine goes on',
  (times) => {
    for (const hang of [1500, 5000, 9000]) {
      const cluster = start(times);
      cluster.submit(job(1, { batch: 8, expected_s: 20 }), 'n-0');
      cluster.submit(job(2, { batch: 4, expected_s: 150 }), 'n-1');
      const sent = () => cluster.log.some((l) => l.message === 'start sent');
      assert.ok(cluster.runUntil(sent, 10_000));
      for (const w of workers(cluster)) w.hanging = true;
      cluster.cancel(idOf(2), 'n-2');
      cluster.run(hang);
      for (const w of workers(cluster)) w.hanging = false;
      endsWell(cluster, [1, 2]);
    }
  },
);

// Its reports do not come, so it is told directly; it hangs and hears that only as it goes on.
onEachDeployment('a direct command waits in a machine that hangs', (times) => {
  const cluster = busy(times, 2, 6);
  const victim = workers(cluster)[0]!;
  cluster.cutReportsOf(victim.machine.id);
  cluster.run(times.reportEvery * 2 + 2000);
  victim.hanging = true;
  cancelled(cluster, 1, others(cluster)[0]!);
  assert.ok(cluster.commands > 0);
  const cancelledTask = () =>
    victim.tasks.some((t) => t.piece.startsWith(A) && t.status !== 'exited');
  assert.ok(cancelledTask(), 'it has not heard it yet');
  victim.hanging = false;
  cluster.run(1000);
  assert.ok(!cancelledTask());
  endsWell(cluster, [1, 2]);
});

for (const outage of [false, true]) {
  const name = outage ? ', inside an outage' : '';
  onEachDeployment(`leaders change ten times in two minutes${name}`, (times) => {
    const cluster = busy(times, 3, 4);
    for (let i = 0; i < 10; i++) {
      const leader = cluster.leader();
      if (outage && i % 3 === 1) cluster.state.down = true;
      if (outage && i % 3 === 2) cluster.state.restore();
      if (i === 2 || i === 5) cluster.cancel(idOf(i === 2 ? 1 : 2), others(cluster)[0]!);
      if (leader) cluster.crash(leader);
      cluster.at(6000, () => leader && cluster.boot(leader));
      cluster.run(12_000);
    }
    endsWell(cluster, [1, 2, 3]);
  });
}

onEachDeployment(
  'controllers hand over and back, all end, and one returns within a second',
  (times) => {
    for (const pause of [100, 400, 900]) {
      const cluster = busy(times, 2, 4);
      const first = cluster.leader()!;
      cluster.crash(first);
      cluster.run(times.leaderLease + 1500);
      cluster.boot(first);
      const second = cluster.leader();
      if (second) cluster.crash(second);
      cluster.run(pause);
      for (const n of cluster.nodes) cluster.crash(n);
      cluster.run(pause);
      cluster.boot(first);
      cluster.run(3000);
      cancelled(cluster, 1, first);
      endsWell(cluster, [1, 2]);
    }
  },
);

onEachDeployment('tasks of one job end far apart across a change of leader', (times) => {
  const apart = (piece: string) => 4000 + Number(piece.split('/')[1]) * 25_000;
  const cluster = start(times, { runTimeOf: apart });
  for (let n = 1; n <= 6; n++) cluster.submit(job(n, { batch: 2 + (n % 2) }), 'n-0');
  for (let i = 0; i < 3; i++) {
    cluster.run(10_000);
    const leader = cluster.leader()!;
    cluster.crash(leader);
    cluster.at(6000, () => cluster.boot(leader));
  }
  endsWell(cluster, [1, 2, 3, 4, 5, 6]);
  assert.equal(cluster.checker.starts, 15, 'what was done stays done');
});

onEachDeployment('all controllers are away for longer than the lease', (times) => {
  const cluster = busy(times, 2, 4);
  cancelled(cluster, 1, others(cluster)[0]!);
  for (const n of cluster.nodes) cluster.crash(n);
  cluster.run(times.lease + 8000);
  for (const n of cluster.nodes) cluster.boot(n);
  endsWell(cluster, [1, 2]);
});

onEachDeployment('machines can not open connections, while direct commands reach them', (times) => {
  const cluster = busy(times, 2, 6);
  const unheard = workers(cluster).slice(0, 2);
  for (const w of unheard) cluster.cutReportsOf(w.machine.id);
  cluster.run(times.reportEvery * 2 + 1000);
  cancelled(cluster, 1, others(cluster)[0]!);
  cluster.run(2000);
  const left = unheard.flatMap((w) => w.tasks).filter((t) => t.piece.startsWith(A));
  assert.deepEqual(
    left.filter((t) => t.status !== 'exited'),
    [],
    'told directly',
  );
  cluster.run(times.lease + 10_000);
  assert.ok(unheard.every((w) => w.shift > 1));
  endsWell(cluster, [1, 2]);
});

onEachDeployment(
  'a leader without state service and peers; jobs are cancelled through the new one',
  (times) => {
    const cluster = busy(times, 3, 4);
    const old = cluster.leader()!;
    cluster.isolate(old);
    cluster.run(1000);
    cluster.cancel(A, others(cluster)[0]!);
    assert.ok(cluster.runUntil(() => ![old, null].includes(cluster.leader()), 20_000));
    cluster.cancel(idOf(2), cluster.leader()!);
    cluster.cancel(idOf(3), old);
    cluster.run(times.cancelWithin + 5000);
    assert.equal(cluster.checker.final(idOf(2)), 'aborted');
    endsWell(cluster, [1, 2, 3]);
  },
);

onEachDeployment('more work than room, urgent and not, over slow links', (times) => {
  const cluster = start(times, { runTime: 8000 }, 3);
  cluster.linkDelay = 900;
  cluster.stateDelay = () => (cluster.random() < 0.3 ? 600 : 0);
  const numbers = Array.from({ length: 24 }, (_, i) => i + 1);
  for (const n of numbers) {
    const urgency = n % 3 === 0 ? 'urgent' : 'idle';
    const over = { batch: 6, urgency, jobclass: urgency, expected_s: 8 };
    cluster.at(n * 1500, () => cluster.submit(job(n, over), cluster.nodes[n % 3]!));
  }
  cluster.at(30_000, () => cluster.cancel(idOf(4), 'n-1'));
  cluster.run(120_000);
  endsWell(cluster, numbers);
});

onEachDeployment(
  'a team at its limit, a change of leader, unreachable machines and a cancellation',
  (times) => {
    const cluster = busy(times, 2, 4, {}, { cpuLimit: 8 });
    cluster.submit(job(3, { batch: 6, expected_s: 20 }), 'n-0');
    cluster.submit(job(4, { batch: 2, expected_s: 20, owner: 'other' }), 'n-0');
    const silent = workers(cluster).slice(0, 2);
    for (const w of silent) cluster.cuts.add(w.machine.id);
    const old = cluster.leader()!;
    cluster.crash(old);
    cluster.run(times.leaderLease + 1500);
    cluster.cancel(A, [...cluster.alive.keys()][0]!);
    // Newer than the term, so it need not wait for the machines that can't be asked.
    cluster.submit(job(5, { batch: 6, expected_s: 20 }), [...cluster.alive.keys()][0]!);
    cluster.run(12_000);
    cluster.boot(old);
    cluster.run(times.lease + 10_000);
    endsWell(cluster, [1, 2, 3, 4, 5]);
    assert.ok(cluster.checker.mostUsed('team') >= 8, 'the limit was reached');
  },
);

onEachDeployment(
  'a slow state service, a refused leader, then an outage, while users cancel and ask',
  (times) => {
    for (const refuse of [3000, 9000]) {
      const cluster = busy(times, 4, 3);
      cluster.stateDelay = () => 300 + cluster.random() * 800;
      cluster.run(5000);
      const leader = cluster.leader()!;
      cluster.state.refused.add(leader);
      for (let n = 1; n <= 3; n++) {
        cluster.at(n * 700, () => cluster.cancel(idOf(n), cluster.nodes[n % 3]!));
        cluster.at(n * 900, () => cluster.poll(idOf(n), cluster.nodes[(n + 1) % 3]!));
      }
      cluster.run(refuse);
      cluster.state.down = true;
      cluster.run(times.cancelWithin + 8000);
      endsWell(cluster, [1, 2, 3, 4]);
    }
  },
);

onEachDeployment('jobs bound to one zone lose machines', (times) => {
  const cluster = start(times, { runTime: 20_000 });
  cluster.submit(job(1, { batch: 6, same_place: true, expected_s: 20 }), 'n-0');
  cluster.submit(job(2, { batch: 6, hall: 'b', expected_s: 20 }), 'n-1');
  cluster.submit(job(3, { batch: 5, apart: true, expected_s: 20 }), 'n-2');
  assert.ok(cluster.runUntil(() => running(cluster) > 10, 40_000));
  for (const w of workers(cluster).filter((x) => x.machine.zone === 'b'))
    cluster.cloud.take(w.machine.id);
  cluster.run(times.lease);
  for (let i = 0; i < 2; i++) cluster.cloud.add('b');
  endsWell(cluster, [1, 2, 3]);
});

onEachDeployment(
  'old reports arrive after newer ones, also of an earlier session or attempt',
  (times) => {
    for (const delay of [2500, times.lease * 0.8, times.lease * 1.7]) {
      const cluster = start(times, { runTime: 9000 });
      cluster.copyDelay = () => delay;
      for (let n = 1; n <= 4; n++) cluster.submit(job(n, { batch: 6 }), 'n-0');
      cluster.run(8000);
      workers(cluster)[0]!.reboot();
      cluster.cancel(A, 'n-1');
      cluster.run(delay + 5000);
      workers(cluster)[1]!.reboot();
      cluster.run(delay + 5000);
      cluster.copyDelay = null;
      endsWell(cluster, [1, 2, 3, 4]);
    }
  },
);

onEachDeployment(
  'a report is held back until a new leader has acted, and then arrives there',
  (times) => {
    for (const delay of [times.leaderLease + 1500, times.leaderLease + 6000, times.lease]) {
      const cluster = start(times, { runTime: 12_000 });
      for (let n = 1; n <= 4; n++) cluster.submit(job(n, { batch: 5 }), 'n-0');
      cluster.run(4000);
      cluster.copyTo = () => cluster.leader();
      cluster.copyDelay = () => delay;
      cluster.run(3000);
      cluster.crash(cluster.leader()!);
      cluster.at(2000, () => cluster.cancel(A, [...cluster.alive.keys()][0]!));
      cluster.run(3000);
      cluster.copyDelay = null;
      cluster.run(delay + 5000);
      endsWell(cluster, [1, 2, 3, 4]);
    }
  },
);

// Made before the last leader's start came, it shows a machine without tasks.
onEachDeployment(
  'a report of before a start arrives at the next leader as the first one',
  (times) => {
    const cluster = start(times);
    cluster.copyDelay = () => 13_000;
    cluster.run(times.reportEvery + 500);
    cluster.copyDelay = null;
    cluster.submit(job(1, { batch: 16, expected_s: 60 }), 'n-0');
    assert.ok(cluster.runUntil(() => running(cluster) === 16, 4000));
    for (const w of workers(cluster)) cluster.cutReportsOf(w.machine.id);
    cluster.copyTo = () => cluster.leader();
    cluster.crash(cluster.leader()!);
    for (let i = 0; i < 4; i++) cluster.cloud.add('a');
    cluster.run(18_000);
    for (const w of workers(cluster)) cluster.restoreReportsOf(w.machine.id);
    endsWell(cluster, [1]);
  },
);

onEachDeployment(
  'transactions without an answer are carried out late, after newer ones',
  (times) => {
    const cluster = start(times, { runTime: 6000, capacity: 8 });
    const commits = (path: string) => path === '/commit';
    cluster.stateFault = (_node, call) =>
      commits(call.path) && cluster.random() < 0.4 ? 2000 + cluster.random() * 10_000 : undefined;
    const numbers = Array.from({ length: 10 }, (_, i) => i + 1);
    const insist = (n: number) => {
      if (cluster.checker.accepted(idOf(n))) return;
      cluster.submit(job(n, { batch: 3 }), cluster.nodes[n % 3]!);
      cluster.at(4000, () => insist(n));
    };
    for (const n of numbers) cluster.at(n * 2000, () => insist(n));
    for (const n of [2, 5]) cluster.at(n * 2000 + 9000, () => cluster.cancel(idOf(n), 'n-1'));
    cluster.at(15_000, () => cluster.cloud.add('b'));
    cluster.run(30_000);
    cluster.crash(cluster.leader()!);
    cluster.run(40_000);
    endsWell(cluster, numbers);
  },
);

for (const how of ['reached', 'told'] as const) {
  const name = how === 'reached' ? 'can not be reached' : "don't hear the new leader's answers";
  onEachDeployment(`a leader ends while machines with long tasks ${name}`, (times) => {
    for (const length of [10_000, times.lease + 20_000, 100_000]) {
      const cluster = busy(times, 2, 6);
      const victim = workers(cluster)[0]!.machine.id;
      if (how === 'reached') cluster.cuts.add(victim);
      else cluster.cutAnswersTo(victim);
      cluster.crash(cluster.leader()!);
      cluster.run(3000);
      const from = cluster.now();
      cluster.submit(job(3, { batch: 2, expected_s: 5 }), [...cluster.alive.keys()][0]!);
      const ready = () => cluster.log.filter((l) => l.message === 'roster accounted for').length;
      const before = ready();
      cluster.run(length);
      if (length > times.lease * 2) {
        assert.ok(ready() > before, 'the others do not wait for as long as it is so');
      }
      assert.ok(cluster.now() - from >= length);
      endsWell(cluster, [1, 2, 3]);
    }
  });
}
