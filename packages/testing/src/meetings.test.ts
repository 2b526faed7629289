import assert from 'node:assert/strict';
import { job, type FakeWorker, type Terms, type World, type WorldOptions } from './index.js';
import { onEachDeployment } from './deployments.js';
import { A, ask, idOf, keepsRules, others, running, settled, status } from './story.js';

// Meetings of two troubles, with the times of both deployments.
const LONG = 300_000;

function start(terms: Terms, options: WorldOptions = {}, machines = 4): World {
  return settled({ terms, capacity: machines, ...options }, machines);
}

/** A world with `jobs` jobs of `tasks` long tasks each, all of which run. */
function busy(
  terms: Terms,
  jobs: number,
  tasks: number,
  over: Record<string, unknown> = {},
  options: WorldOptions = {},
): World {
  const world = start(terms, options);
  for (let n = 1; n <= jobs; n++) {
    world.submit(job(n, { batch: tasks, expected_s: 150, ...over }), world.nodes[n % 3]!);
  }
  assert.ok(world.runUntil(() => running(world) === jobs * tasks, 40_000));
  return world;
}

const workers = (world: World): FakeWorker[] => [...world.workers.values()];

/** All troubles are over: each of these jobs is done, or was called off, and is known. */
function endsWell(world: World, jobs: number[]): void {
  world.calm();
  for (const n of jobs) {
    const ended = () => {
      if (world.now() % 1000 === 0) world.poll(idOf(n), world.nodes[n % 3]!);
      return world.checker.final(idOf(n)) !== null;
    };
    assert.ok(world.runUntil(ended, LONG), `job ${n} has ended`);
  }
  world.run(world.terms.cancelWithin + 5000);
  assert.equal(running(world), 0);
  assert.deepEqual(world.checker.unserved(), []);
  keepsRules(world);
}

const cancelled = (world: World, n: number, node: string): void =>
  assert.equal(status(ask(world, (d) => world.cancel(idOf(n), node, d))), 'aborted');

/** The leader alone is refused, users cancel elsewhere, then the service is out for all. */
function gap(world: World, pause: number, outage: number): void {
  const leader = world.leader()!;
  const [b, c] = others(world);
  world.state.refused.add(leader);
  world.cancel(idOf(1), b!);
  world.at(pause / 2, () => world.cancel(idOf(2), c!));
  world.run(pause);
  world.state.down = true;
  world.run(14_000 - pause);
  world.state.refused.clear();
  world.run(outage - 14_000 + pause);
  world.state.restore();
}

onEachDeployment(
  'gap: a refused leader, cancellations confirmed elsewhere, then an outage',
  (terms) => {
    for (const pause of [200, 1000, 2500, 4000]) {
      const world = busy(terms, 3, 4);
      gap(world, pause, terms.cancelWithin + 12_000);
      assert.equal(world.checker.final(A), 'aborted');
      gap(world, pause, terms.cancelWithin + 12_000);
      endsWell(world, [1, 2, 3]);
    }
  },
);

// The rule must not rest on what controllers tell each other, nor on direct commands.
onEachDeployment('gap between controllers that do not hear each other', (terms) => {
  for (const pause of [1000, 4000]) {
    const world = busy(terms, 3, 4);
    for (const a of world.nodes) for (const b of world.nodes) world.cuts.add(`${a}>${b}`);
    for (const w of workers(world)) world.cuts.add(`${world.leader()}>${w.machine.id}:1`);
    gap(world, pause, terms.cancelWithin + 12_000);
    endsWell(world, [1, 2, 3]);
  }
});

// Each outage ends just before the workers' leases do: the leader's own is whole again, and
// it may answer before it has been told of anything. Then the next outage begins.
onEachDeployment(
  'gap: leases made whole by short breaks of an outage renew nothing cancelled',
  (terms) => {
    for (const breath of [300, 900, 1500]) {
      const world = busy(terms, 3, 4);
      const leader = world.leader()!;
      for (const n of world.nodes) world.cuts.add(`${n}>${leader}`);
      // Renewals are answered, while all that tells of jobs is not.
      world.stateFault = (node, call) =>
        node === leader && !call.path.startsWith('/grants') ? 'lost_before' : undefined;
      world.run(3000);
      world.cancel(A, others(world)[0]!);
      world.run(500);
      for (let i = 0; i < 4; i++) {
        world.state.down = true;
        world.run(18_000);
        world.state.restore();
        world.run(breath);
      }
      endsWell(world, [1, 2, 3]);
    }
  },
);

onEachDeployment('gap: a machine hangs as its job is called off, and goes on', (terms) => {
  for (const hang of [8000, terms.lease - 2000, terms.lease + 15_000]) {
    const world = busy(terms, 2, 4);
    const hung = workers(world).slice(0, 2);
    for (const w of hung) w.hanging = true;
    world.at(hang, () => hung.forEach((w) => (w.hanging = false)));
    gap(world, 1000, terms.cancelWithin + 12_000);
    endsWell(world, [1, 2]);
  }
});

// Nothing tells the leader of jobs any more, while its lease is renewed.
onEachDeployment('no start leaves on old news', (terms) => {
  const world = start(terms, { runTime: 12_000 }, 1);
  world.submit(job(1, { batch: 4 }), 'n-0');
  assert.ok(world.runUntil(() => running(world) === 4, 40_000));
  world.submit(job(2, { batch: 4 }), 'n-0');
  const leader = world.leader()!;
  world.run(8000);
  for (const n of world.nodes) world.cuts.add(`${n}>${leader}`);
  world.stateFault = (node, call) =>
    node === leader && call.path.startsWith('/changes') ? 'lost_before' : undefined;
  world.run(2500);
  cancelled(world, 2, others(world)[0]!);
  assert.equal(running(world), 0, 'there is room');
  assert.equal(world.checker.startsAfterCancel, 0);
  endsWell(world, [1, 2]);
});

onEachDeployment('a leader that an outage silenced is not deaf and goes on', (terms) => {
  const world = busy(terms, 2, 4);
  const leader = world.leader()!;
  world.run(10_000);
  world.state.down = true;
  world.run(terms.leaderLease + 8000);
  world.state.restore();
  world.run(4000);
  assert.equal(world.leader(), leader);
  assert.ok(!world.log.some((l) => l.message === 'resigning leadership'));
  assert.equal(running(world), 8);
  endsWell(world, [1, 2]);
});

onEachDeployment(
  'gap: a start that waits in a held answer is not sent for a cancelled job',
  (terms) => {
    const world = start(terms, {}, 1);
    world.submit(job(1, { batch: 4, expected_s: 150 }), 'n-0');
    assert.ok(world.runUntil(() => running(world) === 4, 40_000));
    world.submit(job(2, { batch: 4, expected_s: 150 }), 'n-0');
    world.run(2000);
    gap(world, 1000, terms.cancelWithin + 12_000);
    world.run(2000);
    const late = world.checker.startsAfterCancel;
    assert.equal(late, 0, `${late} starts of cancelled jobs`);
    endsWell(world, [1, 2]);
  },
);

onEachDeployment(
  'gap: with peers in reach a cancelled job goes at once, and what it shares a machine with stays',
  (terms) => {
    const world = busy(terms, 2, 4);
    const leader = world.leader()!;
    world.state.refused.add(leader);
    world.run(200);
    cancelled(world, 1, others(world)[0]!);
    assert.equal(running(world), 4, 'within seconds the cancelled tasks are gone');
    world.run(8000);
    assert.equal(running(world), 4, 'the others run on');
    endsWell(world, [1, 2]);
  },
);

onEachDeployment(
  'a zone with workers and a controller is cut off for longer than the lease',
  (terms) => {
    for (const leaderToo of [true, false]) {
      const world = busy(terms, 2, 4);
      const far = leaderToo ? world.leader()! : others(world)[0]!;
      const machines = workers(world).filter((w) => w.machine.zone === 'b');
      world.part([far, ...machines.map((w) => w.machine.id)]);
      world.run(15_000);
      world.cancel(A, far);
      world.run(terms.lease + 20_000);
      endsWell(world, [1, 2]);
    }
  },
);

onEachDeployment('a kept worker loses only what is called off', (terms) => {
  const world = busy(terms, 2, 4);
  const far = others(world)[0]!;
  const machines = workers(world).filter((w) => w.machine.zone === 'b');
  world.part([far, ...machines.map((w) => w.machine.id)]);
  world.run(15_000);
  cancelled(world, 1, far);
  world.run(terms.lease + 10_000);
  for (const w of machines) assert.equal(w.shift, 1, `${w.machine.id} kept its lease`);
  assert.equal(running(world), 4);
  endsWell(world, [1, 2]);
});

onEachDeployment(
  'a cancellation, a question and a repeated submission meet the end of the last task',
  (terms) => {
    for (let moment = 0; moment <= 2000; moment += 100) {
      const world = start(terms, { runTime: 3000 }, 1);
      world.submit(job(1, { batch: 1 }), 'n-0');
      const exited = () => workers(world).some((w) => w.tasks.some((t) => t.status === 'exited'));
      assert.ok(world.runUntil(exited, 20_000));
      world.run(moment);
      const [b, c] = others(world);
      world.cancel(A, b!);
      world.poll(A, c!);
      world.submit(job(1, { batch: 1 }), world.leader()!);
      world.poll(A, b!);
      endsWell(world, [1]);
    }
  },
);

onEachDeployment(
  'a command or its answer is held up for seconds, and the machine goes on',
  (terms) => {
    for (const hang of [1500, 5000, 9000]) {
      const world = start(terms);
      world.submit(job(1, { batch: 8, expected_s: 20 }), 'n-0');
      world.submit(job(2, { batch: 4, expected_s: 150 }), 'n-1');
      const sent = () => world.log.some((l) => l.message === 'start sent');
      assert.ok(world.runUntil(sent, 10_000));
      for (const w of workers(world)) w.hanging = true;
      world.cancel(idOf(2), 'n-2');
      world.run(hang);
      for (const w of workers(world)) w.hanging = false;
      endsWell(world, [1, 2]);
    }
  },
);

// Its reports do not come, so it is told directly; it hangs and hears that only as it goes on.
onEachDeployment('a direct command waits in a machine that hangs', (terms) => {
  const world = busy(terms, 2, 6);
  const victim = workers(world)[0]!;
  world.mute(victim.machine.id);
  world.run(terms.reportEvery * 2 + 2000);
  victim.hanging = true;
  cancelled(world, 1, others(world)[0]!);
  assert.ok(world.commands > 0);
  const cancelledTask = () =>
    victim.tasks.some((t) => t.piece.startsWith(A) && t.status !== 'exited');
  assert.ok(cancelledTask(), 'it has not heard it yet');
  victim.hanging = false;
  world.run(1000);
  assert.ok(!cancelledTask());
  endsWell(world, [1, 2]);
});

for (const outage of [false, true]) {
  const name = outage ? ', inside an outage' : '';
  onEachDeployment(`leaders change ten times in two minutes${name}`, (terms) => {
    const world = busy(terms, 3, 4);
    for (let i = 0; i < 10; i++) {
      const leader = world.leader();
      if (outage && i % 3 === 1) world.state.down = true;
      if (outage && i % 3 === 2) world.state.restore();
      if (i === 2 || i === 5) world.cancel(idOf(i === 2 ? 1 : 2), others(world)[0]!);
      if (leader) world.crash(leader);
      world.at(6000, () => leader && world.boot(leader));
      world.run(12_000);
    }
    endsWell(world, [1, 2, 3]);
  });
}

onEachDeployment(
  'controllers hand over and back, all end, and one returns within a second',
  (terms) => {
    for (const pause of [100, 400, 900]) {
      const world = busy(terms, 2, 4);
      const first = world.leader()!;
      world.crash(first);
      world.run(terms.leaderLease + 1500);
      world.boot(first);
      const second = world.leader();
      if (second) world.crash(second);
      world.run(pause);
      for (const n of world.nodes) world.crash(n);
      world.run(pause);
      world.boot(first);
      world.run(3000);
      cancelled(world, 1, first);
      endsWell(world, [1, 2]);
    }
  },
);

onEachDeployment('tasks of one job end far apart across a change of leader', (terms) => {
  const apart = (piece: string) => 4000 + Number(piece.split('/')[1]) * 25_000;
  const world = start(terms, { runTimeOf: apart });
  for (let n = 1; n <= 6; n++) world.submit(job(n, { batch: 2 + (n % 2) }), 'n-0');
  for (let i = 0; i < 3; i++) {
    world.run(10_000);
    const leader = world.leader()!;
    world.crash(leader);
    world.at(6000, () => world.boot(leader));
  }
  endsWell(world, [1, 2, 3, 4, 5, 6]);
  assert.equal(world.checker.starts, 15, 'what was done stays done');
});

onEachDeployment('all controllers are away for longer than the lease', (terms) => {
  const world = busy(terms, 2, 4);
  cancelled(world, 1, others(world)[0]!);
  for (const n of world.nodes) world.crash(n);
  world.run(terms.lease + 8000);
  for (const n of world.nodes) world.boot(n);
  endsWell(world, [1, 2]);
});

onEachDeployment('machines can not open connections, while direct commands reach them', (terms) => {
  const world = busy(terms, 2, 6);
  const mute = workers(world).slice(0, 2);
  for (const w of mute) world.mute(w.machine.id);
  world.run(terms.reportEvery * 2 + 1000);
  cancelled(world, 1, others(world)[0]!);
  world.run(2000);
  const left = mute.flatMap((w) => w.tasks).filter((t) => t.piece.startsWith(A));
  assert.deepEqual(
    left.filter((t) => t.status !== 'exited'),
    [],
    'told directly',
  );
  world.run(terms.lease + 10_000);
  assert.ok(mute.every((w) => w.shift > 1));
  endsWell(world, [1, 2]);
});

onEachDeployment(
  'a leader without state service and peers; jobs are cancelled through the new one',
  (terms) => {
    const world = busy(terms, 3, 4);
    const old = world.leader()!;
    world.isolate(old);
    world.run(1000);
    world.cancel(A, others(world)[0]!);
    assert.ok(world.runUntil(() => ![old, null].includes(world.leader()), 20_000));
    world.cancel(idOf(2), world.leader()!);
    world.cancel(idOf(3), old);
    world.run(terms.cancelWithin + 5000);
    assert.equal(world.checker.final(idOf(2)), 'aborted');
    endsWell(world, [1, 2, 3]);
  },
);

onEachDeployment('more work than room, urgent and not, over slow links', (terms) => {
  const world = start(terms, { runTime: 8000 }, 3);
  world.linkDelay = 900;
  world.stateDelay = () => (world.random() < 0.3 ? 600 : 0);
  const numbers = Array.from({ length: 24 }, (_, i) => i + 1);
  for (const n of numbers) {
    const urgency = n % 3 === 0 ? 'urgent' : 'idle';
    const over = { batch: 6, urgency, jobclass: urgency, expected_s: 8 };
    world.at(n * 1500, () => world.submit(job(n, over), world.nodes[n % 3]!));
  }
  world.at(30_000, () => world.cancel(idOf(4), 'n-1'));
  world.run(120_000);
  endsWell(world, numbers);
});

onEachDeployment(
  'a team at its limit, a change of leader, silent machines and a cancellation',
  (terms) => {
    const world = busy(terms, 2, 4, {}, { cpuLimit: 8 });
    world.submit(job(3, { batch: 6, expected_s: 20 }), 'n-0');
    world.submit(job(4, { batch: 2, expected_s: 20, owner: 'other' }), 'n-0');
    const silent = workers(world).slice(0, 2);
    for (const w of silent) world.cuts.add(w.machine.id);
    const old = world.leader()!;
    world.crash(old);
    world.run(terms.leaderLease + 1500);
    world.cancel(A, [...world.alive.keys()][0]!);
    // Newer than the term, so it need not wait for the machines that can't be asked.
    world.submit(job(5, { batch: 6, expected_s: 20 }), [...world.alive.keys()][0]!);
    world.run(12_000);
    world.boot(old);
    world.run(terms.lease + 10_000);
    endsWell(world, [1, 2, 3, 4, 5]);
    assert.ok(world.checker.mostUsed('team') >= 8, 'the limit was reached');
  },
);

onEachDeployment(
  'a slow state service, a refused leader, then an outage, while users cancel and ask',
  (terms) => {
    for (const refuse of [3000, 9000]) {
      const world = busy(terms, 4, 3);
      world.stateDelay = () => 300 + world.random() * 800;
      world.run(5000);
      const leader = world.leader()!;
      world.state.refused.add(leader);
      for (let n = 1; n <= 3; n++) {
        world.at(n * 700, () => world.cancel(idOf(n), world.nodes[n % 3]!));
        world.at(n * 900, () => world.poll(idOf(n), world.nodes[(n + 1) % 3]!));
      }
      world.run(refuse);
      world.state.down = true;
      world.run(terms.cancelWithin + 8000);
      endsWell(world, [1, 2, 3, 4]);
    }
  },
);

onEachDeployment('jobs bound to one zone lose machines', (terms) => {
  const world = start(terms, { runTime: 20_000 });
  world.submit(job(1, { batch: 6, same_place: true, expected_s: 20 }), 'n-0');
  world.submit(job(2, { batch: 6, hall: 'b', expected_s: 20 }), 'n-1');
  world.submit(job(3, { batch: 5, apart: true, expected_s: 20 }), 'n-2');
  assert.ok(world.runUntil(() => running(world) > 10, 40_000));
  for (const w of workers(world).filter((x) => x.machine.zone === 'b'))
    world.cloud.take(w.machine.id);
  world.run(terms.lease);
  for (let i = 0; i < 2; i++) world.cloud.add('b');
  endsWell(world, [1, 2, 3]);
});

onEachDeployment(
  'old reports arrive after newer ones, also of an earlier session or attempt',
  (terms) => {
    for (const delay of [2500, terms.lease * 0.8, terms.lease * 1.7]) {
      const world = start(terms, { runTime: 9000 });
      world.copyDelay = () => delay;
      for (let n = 1; n <= 4; n++) world.submit(job(n, { batch: 6 }), 'n-0');
      world.run(8000);
      workers(world)[0]!.reboot();
      world.cancel(A, 'n-1');
      world.run(delay + 5000);
      workers(world)[1]!.reboot();
      world.run(delay + 5000);
      world.copyDelay = null;
      endsWell(world, [1, 2, 3, 4]);
    }
  },
);

onEachDeployment(
  'a report is held back until a new leader has acted, and then arrives there',
  (terms) => {
    for (const delay of [terms.leaderLease + 1500, terms.leaderLease + 6000, terms.lease]) {
      const world = start(terms, { runTime: 12_000 });
      for (let n = 1; n <= 4; n++) world.submit(job(n, { batch: 5 }), 'n-0');
      world.run(4000);
      world.copyTo = () => world.leader();
      world.copyDelay = () => delay;
      world.run(3000);
      world.crash(world.leader()!);
      world.at(2000, () => world.cancel(A, [...world.alive.keys()][0]!));
      world.run(3000);
      world.copyDelay = null;
      world.run(delay + 5000);
      endsWell(world, [1, 2, 3, 4]);
    }
  },
);

// Made before the last leader's start came, it shows a machine without tasks.
onEachDeployment(
  'a report of before a start arrives at the next leader as the first one',
  (terms) => {
    const world = start(terms);
    world.copyDelay = () => 13_000;
    world.run(terms.reportEvery + 500);
    world.copyDelay = null;
    world.submit(job(1, { batch: 16, expected_s: 60 }), 'n-0');
    assert.ok(world.runUntil(() => running(world) === 16, 4000));
    for (const w of workers(world)) world.mute(w.machine.id);
    world.copyTo = () => world.leader();
    world.crash(world.leader()!);
    for (let i = 0; i < 4; i++) world.cloud.add('a');
    world.run(18_000);
    for (const w of workers(world)) world.unmute(w.machine.id);
    endsWell(world, [1]);
  },
);

onEachDeployment(
  'transactions without an answer are carried out late, after newer ones',
  (terms) => {
    const world = start(terms, { runTime: 6000, capacity: 8 });
    const commits = (path: string) => path === '/commit';
    world.stateFault = (_node, call) =>
      commits(call.path) && world.random() < 0.4 ? 2000 + world.random() * 10_000 : undefined;
    const numbers = Array.from({ length: 10 }, (_, i) => i + 1);
    const insist = (n: number) => {
      if (world.checker.accepted(idOf(n))) return;
      world.submit(job(n, { batch: 3 }), world.nodes[n % 3]!);
      world.at(4000, () => insist(n));
    };
    for (const n of numbers) world.at(n * 2000, () => insist(n));
    for (const n of [2, 5]) world.at(n * 2000 + 9000, () => world.cancel(idOf(n), 'n-1'));
    world.at(15_000, () => world.cloud.add('b'));
    world.run(30_000);
    world.crash(world.leader()!);
    world.run(40_000);
    endsWell(world, numbers);
  },
);

for (const how of ['reached', 'told'] as const) {
  const name = how === 'reached' ? 'can not be reached' : "don't hear the new leader's answers";
  onEachDeployment(`a leader ends while machines with long tasks ${name}`, (terms) => {
    for (const length of [10_000, terms.lease + 20_000, 100_000]) {
      const world = busy(terms, 2, 6);
      const victim = workers(world)[0]!.machine.id;
      if (how === 'reached') world.cuts.add(victim);
      else world.deafen(victim);
      world.crash(world.leader()!);
      world.run(3000);
      const from = world.now();
      world.submit(job(3, { batch: 2, expected_s: 5 }), [...world.alive.keys()][0]!);
      const ready = () => world.log.filter((l) => l.message === 'roster accounted for').length;
      const before = ready();
      world.run(length);
      if (length > terms.lease * 2) {
        assert.ok(ready() > before, 'the others do not wait for as long as it is so');
      }
      assert.ok(world.now() - from >= length);
      endsWell(world, [1, 2, 3]);
    }
  });
}
