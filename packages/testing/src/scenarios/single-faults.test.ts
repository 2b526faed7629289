import assert from 'node:assert/strict';
import { test } from 'node:test';
import { cancellationLimitProblem } from '@tealdock/controller';
import { job } from '../index.js';
import {
  JOB1,
  replyTo,
  runUntilDone,
  assertNoViolations,
  followers,
  runningTaskCount,
  readyCluster,
  statusOf,
} from './steps.js';

// The machine's heartbeats arrive while no response reaches it: it looks idle, and so like the
// best volunteer for every task.
test('a machine that no response reaches is not given one start after another', () => {
  const cluster = readyCluster({}, 2);
  const unanswered = [...cluster.workers.keys()][0]!;
  cluster.network.cutResponsesTo(unanswered);
  cluster.submit(job(1, { batch: 4, expected_s: 10 }), 'n-0');
  cluster.submit(job(2, { batch: 8, expected_s: 10 }), 'n-0');
  assert.ok(runUntilDone(cluster, JOB1, 90_000));
  assert.ok(runUntilDone(cluster, 'run-000002', 90_000));
  cluster.run(120_000);
  const lost = cluster.logLines.filter((l) => l.message === 'start lost').length;
  assert.ok(lost >= 1 && lost <= 4, `${lost} starts were lost`);
  assertNoViolations(cluster);
});

test('a machine is used again once responses reach it again', () => {
  const cluster = readyCluster({ capacity: 1 }, 1);
  const unanswered = [...cluster.workers.keys()][0]!;
  cluster.network.cutResponsesTo(unanswered);
  cluster.submit(job(1), 'n-0');
  cluster.run(40_000);
  assert.equal(cluster.checker.finalStatus(JOB1), null);
  cluster.network.restoreResponsesTo(unanswered);
  assert.ok(runUntilDone(cluster, JOB1, 180_000));
  assertNoViolations(cluster);
});

test('a cancelled task ends in time on a machine that no response reaches', () => {
  const cluster = readyCluster({}, 2);
  cluster.submit(job(1, { batch: 8, expected_s: 500 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 8, 20_000));
  cluster.network.cutResponsesTo([...cluster.workers.keys()][0]!);
  assert.equal(statusOf(replyTo(cluster, (d) => cluster.cancel(JOB1, 'n-1', d))), 'aborted');
  cluster.run(60_000);
  assert.equal(runningTaskCount(cluster), 0);
  assertNoViolations(cluster);
});

// Copies show an outdated state of a machine: tasks that have ended long ago, and capacity that was
// assigned to other tasks since.
for (const [name, delay] of [
  ['seconds', 3000],
  ['nearly a lease', 15_000],
  ['well over a lease', 50_000],
] as const) {
  test(`heartbeat copies ${name} late, a leader crash and a reboot cause no double run`, () => {
    const cluster = readyCluster({ capacity: 4, runTime: 8000 }, 2);
    cluster.fleet.duplicateDelay = () => delay;
    for (let i = 1; i <= 4; i++) cluster.submit(job(i, { batch: 6 }), 'n-0');
    cluster.run(12_000);
    cluster.crash(cluster.leader()!);
    cluster.run(4000);
    [...cluster.workers.values()][0]!.reboot();
    for (let i = 1; i <= 4; i++) assert.ok(runUntilDone(cluster, `run-00000${i}`, 200_000));
    cluster.run(150_000);
    assertNoViolations(cluster);
    const lostStarts = cluster.logLines.filter((l) => l.message === 'start lost').length;
    assert.ok(lostStarts <= 2, `${lostStarts} starts went to machines known from copies only`);
  });
}

test('a late copy does not end the long poll of a newer heartbeat', () => {
  const cluster = readyCluster({ capacity: 1 }, 1);
  const worker = [...cluster.workers.values()][0]!;
  const lostStartCount = () => cluster.logLines.filter((l) => l.message === 'start lost').length;
  cluster.fleet.duplicateDelay = () => 700;
  const before = worker.sequenceNumber;
  cluster.run(30_000);
  assert.ok(worker.sequenceNumber - before < 14, 'the worker sent no heartbeats early');
  assert.equal(lostStartCount(), 0);
});

test('workers of an isolated leader move to a new one, and users of the old one get 503', () => {
  const cluster = readyCluster({}, 3);
  cluster.submit(job(1, { batch: 6, expected_s: 60 }), 'n-0');
  cluster.run(8000);
  const old = cluster.leader()!;
  const token = Math.max(...[...cluster.workers.values()].map((w) => w.fencingToken));
  cluster.network.isolate(old);
  const moved = () => [...cluster.workers.values()].every((w) => w.fencingToken > token);
  assert.ok(cluster.runUntil(moved, 25_000), 'all workers follow a new leader');
  assert.notEqual(cluster.leader(), old);
  assert.equal(cluster.request(old, 'GET', '/healthz', Buffer.alloc(0))?.status, 503);
  const reply = replyTo(cluster, (d) => cluster.poll(JOB1, old, d));
  assert.equal(reply?.status, 503);
  assert.ok((reply.retryAfter ?? 0) > 0, 'the reply says when to retry');
  cluster.network.cuts.clear();
  assert.ok(runUntilDone(cluster, JOB1, 120_000));
  assertNoViolations(cluster);
});

test('a job completes although all controllers restart within a second during an election', () => {
  for (const pause of [50, 150, 300, 600]) {
    const cluster = readyCluster({}, 2);
    cluster.submit(job(1, { batch: 6, expected_s: 20 }), 'n-0');
    cluster.run(6000);
    cluster.crash(cluster.leader()!);
    cluster.run(10_000 + pause);
    for (const n of cluster.nodeNames) {
      cluster.crash(n);
      cluster.at(pause, () => cluster.boot(n));
    }
    assert.ok(runUntilDone(cluster, JOB1, 200_000), `after ${pause} ms`);
    assertNoViolations(cluster);
  }
});

test('tasks of machines that reboot at once run again, none of them twice at a time', () => {
  const cluster = readyCluster({}, 2);
  cluster.submit(job(1, { batch: 8, expected_s: 20 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 8, 20_000));
  for (const w of cluster.workers.values()) w.reboot();
  assert.ok(runUntilDone(cluster, JOB1, 120_000));
  assertNoViolations(cluster);
});

// Under a steady load of higher priority, a job of low priority starts only because jobs that have
// waited for too long are placed first.
test('the largest job of the lowest priority starts within four minutes', () => {
  const cluster = readyCluster({ capacity: 2, runTime: 15_000 }, 2);
  const keepSubmitting = (n: number) => {
    cluster.submit(job(n, { batch: 8, urgency: 'urgent' }), 'n-0');
    cluster.at(12_000, () => keepSubmitting(n + 1));
  };
  keepSubmitting(100);
  cluster.run(20_000);
  cluster.submit(job(1, { batch: 40, urgency: 'idle' }), 'n-1');
  const done = () => [...cluster.checker.doneTasks(JOB1)].length;
  assert.ok(
    cluster.runUntil(() => done() > 0, 240_000),
    'one of its tasks is done',
  );
  cluster.run(60_000);
  assert.ok(done() > 1, 'further tasks are done');
  assertNoViolations(cluster);
});

test('polls of a hundred jobs are answered within seconds after an outage', () => {
  const cluster = readyCluster({ capacity: 2 }, 2);
  const ids = Array.from({ length: 100 }, (_, i) => i + 1);
  const idAt = (i: number) => `run-${String(i).padStart(6, '0')}`;
  for (const i of ids) cluster.submit(job(i, { expected_s: 500 }), 'n-0');
  cluster.run(5000);
  for (const i of ids) assert.ok(cluster.checker.isAccepted(idAt(i)));
  cluster.state.down = true;
  cluster.run(20_000);
  cluster.state.restore();
  cluster.run(3000);
  const answered = new Set<number>();
  for (const i of ids) {
    cluster.poll(
      idAt(i),
      followers(cluster)[0] ?? 'n-1',
      (r) => r?.status === 200 && answered.add(i),
    );
  }
  cluster.run(2000);
  assert.equal(answered.size, ids.length);
  assertNoViolations(cluster);
});

// Guards against a wrong liveness proof: the node dropped its record of the job between a poll and
// the proof, and the job's live key, which no longer existed, then compared as unchanged.
test('a poll concurrent with a repeated submission of an ended job gets its final status', () => {
  for (let pause = 0; pause <= 500; pause += 50) {
    const cluster = readyCluster();
    cluster.submit(job(1, { batch: 1, expected_s: 6 }), 'n-0');
    cluster.run(4000);
    cluster.poll(JOB1, 'n-1');
    assert.ok(cluster.runUntil(() => cluster.checker.doneTasks(JOB1).size === 1, 30_000));
    cluster.run(3000);
    assert.equal(statusOf(replyTo(cluster, (d) => cluster.poll(JOB1, 'n-2', d))), 'done');
    cluster.submit(job(1), 'n-1');
    cluster.at(pause, () => cluster.poll(JOB1, 'n-1'));
    cluster.run(2000);
    assertNoViolations(cluster);
  }
});

// A shard holds many entries: a late write of an old version would undo all changes since.
test('a commit that executes late removes no machine that was registered since', () => {
  const cluster = readyCluster({ capacity: 6, runTime: 4000 }, 2);
  let late = 0;
  cluster.stateLink.fault = (_node, call) =>
    call.writeCount > 0 && JSON.stringify(call.body).includes('tealdock/roster') && late++ === 0
      ? 'late'
      : undefined;
  cluster.cloud.addMachine('a');
  cluster.at(5000, () => cluster.cloud.addMachine('b'));
  cluster.run(25_000);
  assert.ok(late > 1, 'one commit was late, others came after it');
  const registry = [...cluster.state.keys]
    .filter(([key]) => key.includes('/roster/'))
    .flatMap(([, e]) => Object.keys((e.v as { entries: object }).entries));
  assert.deepEqual(registry.sort(), [...cluster.workers.keys()].sort());
  assertNoViolations(cluster);
});

test('without a leader, workers wait for the election instead of trying node after node', () => {
  const cluster = readyCluster({}, 20);
  cluster.crash(cluster.leader()!);
  cluster.run(4000);
  const before = [...cluster.workers.values()].reduce((n, w) => n + w.sequenceNumber, 0);
  cluster.run(5000);
  const reports = [...cluster.workers.values()].reduce((n, w) => n + w.sequenceNumber, 0) - before;
  assert.ok(reports < 20 * 2.5, `${reports} heartbeats of 20 workers`);
  assert.ok(
    cluster.runUntil(
      () => cluster.logLines.some((l) => l.message === 'machine registry reconciled'),
      15_000,
    ),
  );
});

test('a new leader knows which machines hold an image', () => {
  const cluster = readyCluster({ runTime: 3000 }, 6);
  // Without hints from the last leader, the first machine, in the other zone, would be chosen.
  cluster.submit(job(1, { batch: 2, hall: 'b' }), 'n-0');
  assert.ok(runUntilDone(cluster, JOB1));
  const holders = new Set(
    cluster.logLines
      .filter((l) => l.message === 'start dispatched')
      .map((l) => l.fields['machine']),
  );
  cluster.run(6000);
  cluster.crash(cluster.leader()!);
  cluster.run(20_000);
  const from = cluster.logLines.length;
  cluster.submit(job(2, { batch: 2 }), [...cluster.processes.running.keys()][0]!);
  assert.ok(runUntilDone(cluster, 'run-000002'));
  const used = cluster.logLines.slice(from).filter((l) => l.message === 'start dispatched');
  for (const l of used)
    assert.ok(holders.has(l.fields['machine']), 'tasks go to a machine that holds the image');
  assert.ok(used.length > 0);
});

test('a job waits a short time for a busy machine that holds its image, and completes there', () => {
  const cluster = readyCluster({ capacity: 2, runTime: 4000 }, 2);
  const large = { batch: 4, image_gb: 16, hall: 'b' };
  cluster.submit(job(1, large), 'n-0');
  assert.ok(runUntilDone(cluster, JOB1));
  cluster.submit(job(2, { ...large, expected_s: 4 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 4, 10_000));
  // No machine has free capacity for this job, so capacity is scarce.
  cluster.submit(job(4, { hall: 'b', batch: 1 }), 'n-0');
  cluster.run(500);
  const from = cluster.logLines.length;
  cluster.submit(job(3, { ...large, hall: null, batch: 3 }), 'n-0');
  assert.ok(runUntilDone(cluster, 'run-000003'));
  const starts = cluster.logLines.slice(from).filter((l) => l.message === 'start dispatched');
  const used = starts.filter((l) => String(l.fields['task']).startsWith('run-000003'));
  const holder = [...cluster.workers.values()].find((w) => w.machine.zone === 'b')!.machine.id;
  assert.ok(used.length === 3 && used.every((l) => l.fields['machine'] === holder));
});

test("settings under which the cancellation limit can't be kept are reported with the least value", () => {
  const times = (lease: number, cancel: number) => ({
    workerLeaseDuration: lease,
    cancellationLimit: cancel,
  });
  assert.equal(cancellationLimitProblem(times(27_000, 47_000)), null);
  assert.equal(cancellationLimitProblem(times(26_000, 56_000)), null);
  assert.match(
    cancellationLimitProblem(times(27_000, 30_000)) ?? '',
    /cancel_s: must be at least 31.1/,
  );
});
