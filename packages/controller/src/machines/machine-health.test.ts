import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MachineHealth } from './machine-health.js';

test('three consecutive failures that are its own fault quarantine a machine', () => {
  const health = new MachineHealth();
  health.recordTaskFailure(true, 0);
  health.recordTaskFailure(false, 0);
  health.recordTaskFailure(true, 0);
  assert.ok(!health.isQuarantined(0));
  health.recordTaskFailure(true, 0);
  assert.deepEqual([health.isQuarantined(119_999), health.isQuarantined(120_000)], [true, false]);
});

test('a completed task resets the failure count', () => {
  const health = new MachineHealth();
  health.recordTaskFailure(true, 0);
  health.recordTaskFailure(true, 0);
  health.recordTaskSuccess();
  health.recordTaskFailure(true, 0);
  assert.ok(!health.isQuarantined(0));
});

test('each consecutive lost start lengthens the quarantine, until a task is observed', () => {
  const health = new MachineHealth();
  const quarantines = [1, 2, 3, 4].map(() => health.recordLostStart(0));
  assert.deepEqual(quarantines, [3000, 12_000, 48_000, 120_000]);
  assert.equal(health.consecutiveLostStartCount, 4);
  health.recordTaskObserved();
  assert.equal(health.consecutiveLostStartCount, 0);
  assert.equal(health.recordLostStart(0), 3000);
  assert.ok(health.isQuarantined(119_999));
});
