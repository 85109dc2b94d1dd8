/** Line plots and pages of reports. */
export * from './page.ts'
export * from './plot.ts'
