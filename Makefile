.PHONY: test demo measure soak start-faults review review-trace environment

environment:
	tools/make_environment

test:
	bash .ci/run

demo: environment
	.venv/bin/python -m demo

measure: environment
	.venv/bin/python -m benchmarks $(NAME)

SEEDS = 50
soak:
	sh deploy/build
	python3 -m faults.soak --seeds $(SEEDS)

start-faults:
	sh deploy/build
	python3 -m faults

# A table of the cases in review/: status 0 held, 1 broken, 2 could not run.
review:
	sh deploy/build
	sh review/build.sh
	@for case in 1 2 3 4 5; do \
	  result=$$(review/$$case/run.sh 2>/dev/null); \
	  printf 'case %s  status %s  %s\n' $$case $$? "$$result"; \
	done

# For each write that review/7 lists: which member ran it, and whether the
# promoted member's log has it. Traces an own record with
# `python3 -m faults.promotion_trace RECORD`.
review-trace:
	sh deploy/build
	sh review/build-2.sh
	python3 -m faults.review_trace --runs 5
