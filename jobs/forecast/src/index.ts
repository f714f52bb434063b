/**
 * Forecasts of queues, and which jobs are refused by them.
 * @module
 */
export {}
