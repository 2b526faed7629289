import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSubmission } from '@tealdock/wire';
import { RuleChecker, SimulatedCluster, job, type FreeCapacity } from '../index.js';
import { JOB1, readyCluster, runningTaskCount, statusOf, replyTo } from '../scenarios/steps.js';

// Each check is shown a fault and must notice it, and nothing else.
const FREE_MACHINE: FreeCapacity = { type: 'small', zone: 'a', spot: false, cpus: 4, memoryGb: 16 };

class CheckerHarness {
  time = 0;
  readonly checker = new RuleChecker(() => this.time, new Map([['team', 4]]), 45_000);

  acceptJob(number: number, overrides: Record<string, unknown> = {}): string {
    const spec = parseSubmission(job(number, overrides));
    this.checker.noteSubmission(spec);
    this.checker.noteRequest(spec.id);
    this.checker.noteResponse(spec.id, 201, 'queued', false, null);
    return spec.id;
  }

  advance(duration: number, freeCapacities: FreeCapacity[] = []): void {
    for (const end = this.time + duration; this.time < end; this.time += 1000) {
      this.checker.check();
      this.checker.checkFreeCapacity(freeCapacities);
    }
  }

  finishTask(task: string): void {
    this.checker.noteStart(task, 'm-1');
    this.checker.noteEnd(task, 'm-1', 'done');
  }

  violatedRules(): string[] {
    return this.checker.violations.map((b) => b.split(':')[0]!);
  }
}

test('a job about which no question is answered for 75 s after all faults is forgotten', () => {
  const watch = new CheckerHarness();
  const id = watch.acceptJob(1);
  watch.advance(100_000);
  watch.checker.noteRequest(id);
  watch.advance(100_000);
  assert.deepEqual(watch.violatedRules(), [], 'faults excuse it');
  watch.checker.noteFaultsEnded();
  watch.advance(70_000);
  assert.deepEqual(watch.violatedRules(), []);
  watch.advance(10_000);
  assert.deepEqual(watch.violatedRules(), ['forgotten']);
});

test('an answer in between is an answer', () => {
  const watch = new CheckerHarness();
  const id = watch.acceptJob(1);
  watch.checker.noteFaultsEnded();
  for (let i = 0; i < 5; i++) {
    watch.checker.noteRequest(id);
    watch.advance(50_000);
    watch.checker.noteResponse(id, 200, 'queued', true, null);
  }
  assert.deepEqual(watch.violatedRules(), []);
});

test('starts after a confirmed cancellation are counted', () => {
  const watch = new CheckerHarness();
  const id = watch.acceptJob(1);
  watch.checker.noteStart(`${id}/0`, 'm-1');
  watch.checker.noteResponse(id, 200, 'aborted', true, null);
  assert.equal(watch.checker.startsAfterCancellationCount, 0);
  watch.checker.noteStart(`${id}/1`, 'm-2');
  assert.equal(watch.checker.startsAfterCancellationCount, 1);
});

test('a job that must be refused and is accepted', () => {
  const watch = new CheckerHarness();
  watch.checker.mustRefuse('run-000009');
  watch.checker.noteResponse('run-000009', 422, undefined, false, null);
  assert.deepEqual(watch.violatedRules(), []);
  watch.checker.noteResponse('run-000009', 201, 'queued', false, null);
  assert.deepEqual(watch.violatedRules(), ['accepted']);
});

test('a job that is left waiting beside room that fits', () => {
  const watch = new CheckerHarness();
  watch.acceptJob(1, { hall: 'b' });
  watch.checker.noteFaultsEnded();
  watch.advance(200_000, [FREE_MACHINE]);
  assert.deepEqual(watch.violatedRules(), [], 'the room is in another zone');
  watch.advance(80_000, [{ ...FREE_MACHINE, zone: 'b' }]);
  watch.advance(1000, []);
  watch.advance(80_000, [{ ...FREE_MACHINE, zone: 'b' }]);
  assert.deepEqual(watch.violatedRules(), [], 'the room was gone in between');
  watch.advance(20_000, [{ ...FREE_MACHINE, zone: 'b' }]);
  assert.deepEqual(watch.violatedRules(), ['left_waiting']);
});

test('a job whose team is at its limit may wait', () => {
  const watch = new CheckerHarness();
  const [first] = [watch.acceptJob(1, { batch: 4 }), watch.acceptJob(2)];
  for (let i = 0; i < 4; i++) watch.checker.noteStart(`${first}/${i}`, 'm-1');
  watch.checker.noteFaultsEnded();
  watch.advance(200_000, [FREE_MACHINE]);
  assert.deepEqual(watch.violatedRules(), []);
  watch.checker.noteEnd(`${first}/0`, 'm-1', 'done');
  watch.advance(100_000, [FREE_MACHINE]);
  assert.deepEqual(watch.violatedRules(), ['left_waiting']);
});

test('less than half of a class, a team or the largest jobs served', () => {
  const watch = new CheckerHarness();
  const small = [1, 2, 3].map((n) => watch.acceptJob(n, { batch: 1, jobclass: 'calm' }));
  const [large, rest] = [watch.acceptJob(4, { batch: 3, jobclass: 'calm' }), watch.acceptJob(5)];
  for (const id of small) watch.finishTask(`${id}/0`);
  const shortfalls = () => watch.checker.unserved().map((f) => f.split(':')[0]);
  assert.deepEqual(shortfalls(), ['largest of calm', 'class plain', 'largest of plain']);
  for (let i = 0; i < 3; i++) watch.finishTask(`${large}/${i}`);
  assert.deepEqual(shortfalls(), ['class plain', 'largest of plain']);
  watch.checker.noteResponse(rest, 200, 'aborted', true, null);
  assert.deepEqual(shortfalls(), []);
  for (const n of [6, 7, 8, 9, 10]) watch.acceptJob(n, { jobclass: 'calm' });
  assert.deepEqual(shortfalls()[0], 'team team');
});

test('a task that starts before all that its job needs is done', () => {
  const watch = new CheckerHarness();
  const first = watch.acceptJob(1, { batch: 2 });
  const second = watch.acceptJob(2, { waits_on: [first] });
  watch.finishTask(`${first}/0`);
  watch.checker.noteStart(`${second}/0`, 'm-2');
  assert.deepEqual(watch.violatedRules(), ['too_early']);
  watch.finishTask(`${first}/1`);
  watch.checker.noteStart(`${second}/1`, 'm-2');
  assert.deepEqual(watch.violatedRules(), ['too_early']);
});

test('a job that is called queued for long after one before it was cancelled', () => {
  const watch = new CheckerHarness();
  const first = watch.acceptJob(1);
  const second = watch.acceptJob(2, { waits_on: [first] });
  const third = watch.acceptJob(3, { waits_on: [second] });
  watch.checker.noteResponse(first, 200, 'aborted', true, null);
  watch.advance(40_000);
  watch.checker.noteResponse(third, 200, 'queued', true, null);
  assert.deepEqual(watch.violatedRules(), []);
  watch.advance(10_000);
  watch.checker.noteResponse(third, 200, 'aborted', true, null);
  assert.deepEqual(watch.violatedRules(), []);
  watch.checker.noteResponse(second, 200, 'queued', true, null);
  assert.deepEqual(watch.violatedRules(), ['orphaned']);
});

test('a largest job that begins after four minutes', () => {
  const watch = new CheckerHarness();
  const id = watch.acceptJob(1, { batch: 1 });
  watch.time += 250_000;
  watch.finishTask(`${id}/0`);
  assert.deepEqual(watch.checker.unserved(), [`${id} began after 250000 ms`]);
});

// The machine keeps its lease for longer than it says, so it goes on with what was called off.
test('a cancelled task that goes on after its machine hung', () => {
  const times = {
    heartbeatInterval: 3000,
    lease: 90_000,
    cancellationLimit: 45_000,
    leaderLease: 5000,
  };
  const cluster = readyCluster({ times, believedLease: 20_000 });
  cluster.submit(job(1, { batch: 4, expected_s: 500 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 4, 20_000));
  for (const w of cluster.workers.values()) w.isHung = true;
  assert.equal(statusOf(replyTo(cluster, (d) => cluster.cancel(JOB1, 'n-1', d))), 'aborted');
  cluster.run(30_000);
  assert.equal(cluster.checker.violations.length, 0);
  cluster.run(20_000);
  for (const w of cluster.workers.values()) w.isHung = false;
  cluster.run(1000);
  assert.ok(cluster.checker.violations.some((b) => b.startsWith('ran_cancelled')));
});

test('odd requests are answered as the protocol says, and change nothing', () => {
  const cluster: SimulatedCluster = readyCluster();
  cluster.submit(job(1, { batch: 4, expected_s: 60 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 4, 20_000));
  cluster.run(4000);
  const again = replyTo(cluster, (d) => cluster.submit(job(1, { batch: 4 }), 'n-1', d));
  assert.deepEqual([again?.status, statusOf(again)], [200, 'running']);
  const lacking = job(1, { owner: undefined });
  const known = replyTo(cluster, (d) => cluster.users.submitInvalid(lacking, 'n-2', d));
  assert.equal(known?.status, 200, 'a known job is known whatever the body says now');
  const lacks = replyTo(cluster, (d) =>
    cluster.users.submitInvalid({ ...lacking, ref: 'run-000002' }, 'n-0', d),
  );
  assert.equal(lacks?.status, 400);
  const large = replyTo(cluster, (d) =>
    cluster.users.submitInvalid(job(3, { mem_gb: 5000 }), 'n-1', d),
  );
  assert.equal(large?.status, 422);
  const done = () => cluster.checker.doneTasks(JOB1).size === 4;
  assert.ok(cluster.runUntil(done, 90_000));
  cluster.run(3000);
  assert.equal(statusOf(replyTo(cluster, (d) => cluster.cancel(JOB1, 'n-2', d))), 'done');
  assert.deepEqual(cluster.checker.violations, []);
});
