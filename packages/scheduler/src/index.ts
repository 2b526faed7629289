/** Scheduling decisions as pure functions, which keep no state and read no clock. */
export * from './resources.js';
export * from './pareto-front.js';
export * from './placement-constraints.js';
export * from './job-ordering.js';
export * from './preemption-planning.js';
export * from './rental-plan.js';
export * from './dependent-demands.js';
