import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FailureBackoff } from './failure-backoff.js';

test('the third consecutive failure starts a backoff, and each further one doubles it', () => {
  const backoff = new FailureBackoff();
  backoff.recordFailure(0);
  backoff.recordFailure(0);
  assert.ok(!backoff.isActive(0));
  assert.ok(!backoff.isJobAtFault);
  backoff.recordFailure(0);
  assert.ok(backoff.isJobAtFault);
  assert.deepEqual([backoff.isActive(999), backoff.isActive(1000)], [true, false]);
  backoff.recordFailure(1000);
  assert.deepEqual([backoff.isActive(2999), backoff.isActive(3000)], [true, false]);
});

test('a backoff lasts for a minute at most', () => {
  const backoff = new FailureBackoff();
  for (let i = 0; i < 30; i++) backoff.recordFailure(0);
  assert.deepEqual([backoff.isActive(59_999), backoff.isActive(60_000)], [true, false]);
});

test('a completed task resets the failure count, but does not end a backoff', () => {
  const backoff = new FailureBackoff();
  for (let i = 0; i < 3; i++) backoff.recordFailure(0);
  backoff.recordSuccess();
  assert.ok(!backoff.isJobAtFault);
  assert.ok(backoff.isActive(999));
});
