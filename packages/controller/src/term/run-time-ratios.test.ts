import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunTimeRatios } from './run-time-ratios.js';

test('a class without completed tasks counts as estimated exactly', () => {
  assert.equal(new RunTimeRatios().ratioOf('batch'), 1);
});

test('a completed task moves the average of its class by a tenth of the difference', () => {
  const ratios = new RunTimeRatios();
  ratios.recordCompletion('batch', 2);
  assert.ok(Math.abs(ratios.ratioOf('batch') - 1.1) < 1e-9);
  assert.equal(ratios.ratioOf('other'), 1);
});

test('a single task counts with at most ten times its estimate', () => {
  const ratios = new RunTimeRatios();
  ratios.recordCompletion('batch', 1000);
  assert.ok(Math.abs(ratios.ratioOf('batch') - 1.9) < 1e-9);
});

test('restored ratios are those that another leader passed on', () => {
  const ratios = new RunTimeRatios();
  ratios.restore('batch', 1.5);
  assert.equal(ratios.ratioOf('batch'), 1.5);
  assert.deepEqual(ratios.entries(), [['batch', 1.5]]);
});
