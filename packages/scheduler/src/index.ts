/** Pure decisions, without time or state of their own. */
export * from './model.js';
export * from './front.js';
export * from './rules.js';
export * from './order.js';
export * from './preempt.js';
export * from './rental-plan.js';
export * from './dependent-demands.js';
