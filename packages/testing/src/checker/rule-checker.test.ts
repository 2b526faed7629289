import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSubmission } from '@tealdock/wire';
import { RuleChecker, SimulatedCluster, job, type FreeCapacity } from '../index.js';
import { JOB1, readyCluster, runningTaskCount, statusOf, replyTo } from '../scenarios/steps.js';

// Each test shows the checker one violation, which it must report, and nothing else.
const FREE_MACHINE: FreeCapacity = { type: 'small', zone: 'a', spot: false, cpus: 4, memoryGb: 16 };

/** A rule checker whose clock the test advances. */
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

test('a job without an answered request for 75 s after all faults ended is reported as forgotten', () => {
  const harness = new CheckerHarness();
  const id = harness.acceptJob(1);
  harness.advance(100_000);
  harness.checker.noteRequest(id);
  harness.advance(100_000);
  assert.deepEqual(harness.violatedRules(), [], 'no violation while there may be faults');
  harness.checker.noteFaultsEnded();
  harness.advance(70_000);
  assert.deepEqual(harness.violatedRules(), []);
  harness.advance(10_000);
  assert.deepEqual(harness.violatedRules(), ['forgotten']);
});

test('a reply resets the time without an answer', () => {
  const harness = new CheckerHarness();
  const id = harness.acceptJob(1);
  harness.checker.noteFaultsEnded();
  for (let i = 0; i < 5; i++) {
    harness.checker.noteRequest(id);
    harness.advance(50_000);
    harness.checker.noteResponse(id, 200, 'queued', true, null);
  }
  assert.deepEqual(harness.violatedRules(), []);
});

test('starts after a confirmed cancellation are counted', () => {
  const harness = new CheckerHarness();
  const id = harness.acceptJob(1);
  harness.checker.noteStart(`${id}/0`, 'm-1');
  harness.checker.noteResponse(id, 200, 'aborted', true, null);
  assert.equal(harness.checker.startsAfterCancellationCount, 0);
  harness.checker.noteStart(`${id}/1`, 'm-2');
  assert.equal(harness.checker.startsAfterCancellationCount, 1);
});

test('an invalid job that is accepted is reported', () => {
  const harness = new CheckerHarness();
  harness.checker.expectRefusal('run-000009');
  harness.checker.noteResponse('run-000009', 422, undefined, false, null);
  assert.deepEqual(harness.violatedRules(), []);
  harness.checker.noteResponse('run-000009', 201, 'queued', false, null);
  assert.deepEqual(harness.violatedRules(), ['accepted']);
});

test('a job that waits for too long beside free capacity that fits is reported as left waiting', () => {
  const harness = new CheckerHarness();
  harness.acceptJob(1, { hall: 'b' });
  harness.checker.noteFaultsEnded();
  harness.advance(200_000, [FREE_MACHINE]);
  assert.deepEqual(harness.violatedRules(), [], 'the free capacity is in another zone');
  harness.advance(80_000, [{ ...FREE_MACHINE, zone: 'b' }]);
  harness.advance(1000, []);
  harness.advance(80_000, [{ ...FREE_MACHINE, zone: 'b' }]);
  assert.deepEqual(harness.violatedRules(), [], 'there was no free capacity in between');
  harness.advance(20_000, [{ ...FREE_MACHINE, zone: 'b' }]);
  assert.deepEqual(harness.violatedRules(), ['left_waiting']);
});

test('a job whose team is at its limit may wait beside free capacity', () => {
  const harness = new CheckerHarness();
  const [first] = [harness.acceptJob(1, { batch: 4 }), harness.acceptJob(2)];
  for (let i = 0; i < 4; i++) harness.checker.noteStart(`${first}/${i}`, 'm-1');
  harness.checker.noteFaultsEnded();
  harness.advance(200_000, [FREE_MACHINE]);
  assert.deepEqual(harness.violatedRules(), []);
  harness.checker.noteEnd(`${first}/0`, 'm-1', 'done');
  harness.advance(100_000, [FREE_MACHINE]);
  assert.deepEqual(harness.violatedRules(), ['left_waiting']);
});

test('classes, teams and largest jobs of which less than half is done are reported as unserved', () => {
  const harness = new CheckerHarness();
  const small = [1, 2, 3].map((n) => harness.acceptJob(n, { batch: 1, jobclass: 'calm' }));
  const [large, rest] = [
    harness.acceptJob(4, { batch: 3, jobclass: 'calm' }),
    harness.acceptJob(5),
  ];
  for (const id of small) harness.finishTask(`${id}/0`);
  const shortfalls = () => harness.checker.unserved().map((f) => f.split(':')[0]);
  assert.deepEqual(shortfalls(), ['largest of calm', 'class plain', 'largest of plain']);
  for (let i = 0; i < 3; i++) harness.finishTask(`${large}/${i}`);
  assert.deepEqual(shortfalls(), ['class plain', 'largest of plain']);
  harness.checker.noteResponse(rest, 200, 'aborted', true, null);
  assert.deepEqual(shortfalls(), []);
  for (const n of [6, 7, 8, 9, 10]) harness.acceptJob(n, { jobclass: 'calm' });
  assert.deepEqual(shortfalls()[0], 'team team');
});

test('a task that starts before all predecessors of its job are done is reported as too early', () => {
  const harness = new CheckerHarness();
  const first = harness.acceptJob(1, { batch: 2 });
  const second = harness.acceptJob(2, { waits_on: [first] });
  harness.finishTask(`${first}/0`);
  harness.checker.noteStart(`${second}/0`, 'm-2');
  assert.deepEqual(harness.violatedRules(), ['too_early']);
  harness.finishTask(`${first}/1`);
  harness.checker.noteStart(`${second}/1`, 'm-2');
  assert.deepEqual(harness.violatedRules(), ['too_early']);
});

test('a job shown as queued long after an ancestor was cancelled is reported as orphaned', () => {
  const harness = new CheckerHarness();
  const first = harness.acceptJob(1);
  const second = harness.acceptJob(2, { waits_on: [first] });
  const third = harness.acceptJob(3, { waits_on: [second] });
  harness.checker.noteResponse(first, 200, 'aborted', true, null);
  harness.advance(40_000);
  harness.checker.noteResponse(third, 200, 'queued', true, null);
  assert.deepEqual(harness.violatedRules(), []);
  harness.advance(10_000);
  harness.checker.noteResponse(third, 200, 'aborted', true, null);
  assert.deepEqual(harness.violatedRules(), []);
  harness.checker.noteResponse(second, 200, 'queued', true, null);
  assert.deepEqual(harness.violatedRules(), ['orphaned']);
});

test('a largest job that starts after four minutes is reported as unserved', () => {
  const harness = new CheckerHarness();
  const id = harness.acceptJob(1, { batch: 1 });
  harness.time += 250_000;
  harness.finishTask(`${id}/0`);
  assert.deepEqual(harness.checker.unserved(), [`${id} began after 250000 ms`]);
});

// The workers' lease is longer than the controllers believe, so machines that hung continue with
// tasks that were cancelled meanwhile.
test('a cancelled task that continues after its machine hung is reported', () => {
  const times = {
    heartbeatInterval: 3000,
    lease: 90_000,
    cancellationLimit: 45_000,
    leaderLease: 5000,
  };
  const cluster = readyCluster({ times, configuredWorkerLease: 20_000 });
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

test('repeated and invalid requests get the documented replies and change nothing', () => {
  const cluster: SimulatedCluster = readyCluster();
  cluster.submit(job(1, { batch: 4, expected_s: 60 }), 'n-0');
  assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 4, 20_000));
  cluster.run(4000);
  const again = replyTo(cluster, (d) => cluster.submit(job(1, { batch: 4 }), 'n-1', d));
  assert.deepEqual([again?.status, statusOf(again)], [200, 'running']);
  const lacking = job(1, { owner: undefined });
  const known = replyTo(cluster, (d) => cluster.users.submitInvalid(lacking, 'n-2', d));
  assert.equal(known?.status, 200, 'a known job gets 200 whatever the body says');
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
