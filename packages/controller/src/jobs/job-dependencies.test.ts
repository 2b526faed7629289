import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobDependencies } from './job-dependencies.js';

const SUBMITTED_AT = 100;
const SUBMITTED_REVISION = 7;
const dependencies = (...predecessors: string[]) =>
  new JobDependencies(predecessors, SUBMITTED_AT, SUBMITTED_REVISION);

test('a job without predecessors may start from its submission on', () => {
  const job = dependencies();
  assert.ok(job.isReleased);
  assert.equal(job.startableAt, SUBMITTED_AT);
  assert.equal(job.startableSinceRevision, SUBMITTED_REVISION);
});

test('a job is released by its last predecessor, whatever the order of the reads', () => {
  const job = dependencies('a', 'b');
  assert.ok(!job.recordPredecessorDone({ id: 'b', doneAt: 300, revision: 20 }));
  assert.equal(job.startableAt, Infinity);
  assert.ok(job.recordPredecessorDone({ id: 'a', doneAt: 200, revision: 10 }));
  assert.equal(job.startableAt, 300);
  assert.equal(job.startableSinceRevision, 20);
});

test('a predecessor done before the submission does not delay the release', () => {
  const job = dependencies('a');
  assert.ok(job.recordPredecessorDone({ id: 'a', doneAt: -Infinity, revision: 3 }));
  assert.equal(job.startableAt, SUBMITTED_AT);
  assert.equal(job.startableSinceRevision, SUBMITTED_REVISION);
});

test('a job with a cancelled predecessor is never released', () => {
  const job = dependencies('a', 'b');
  job.recordPredecessorCancelled();
  job.recordPredecessorDone({ id: 'a', doneAt: 200, revision: 10 });
  assert.ok(!job.recordPredecessorDone({ id: 'b', doneAt: 300, revision: 20 }));
  assert.ok(!job.isReleased);
  assert.ok(job.hasCancelledPredecessor);
});
