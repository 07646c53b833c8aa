extern "C" {
#include <libwlcore/model/msg.h>
}

#include <cstring>

#include <gtest/gtest.h>

static wl_str_t str(const char *text)
{
	return wl_str_from(text);
}

TEST(Record, PackedMessageIsUnpackedUnchanged)
{
	wl_msg_t msg;
	wl_msg_t back;
	wl_buf_t bytes = {};
	wl_err_t err = {};

	wl_msg_init(&msg, WL_MSG_REQUEST);
	msg.u.request.id = 7;
	wl_buf_set(&msg.u.request.customer, str("norrlamp"));
	wl_headers_add(&msg.u.request.headers, str("X-One"), str("1"));
	wl_msg_pack(&msg, &bytes);

	ASSERT_TRUE(wl_msg_unpack(wl_buf_str(&bytes), &back, &err)) << err.text;
	EXPECT_EQ(back.u.request.id, 7u);
	EXPECT_STREQ(back.u.request.customer.at, "norrlamp");
	EXPECT_STREQ(wl_headers_find(&back.u.request.headers, str("x-one"))->at, "1");

	wl_msg_free(&msg);
	wl_msg_free(&back);
	wl_buf_free(&bytes);
}

/* A rolling upgrade: a version without the last field and one with it read each other's records. */
TEST(Record, LastFieldMayBeMissingOrUnknown)
{
	wl_schema_t earlier = wl_assignment_schema;
	wl_assignment_t assignment = {};
	wl_assignment_t back;
	wl_buf_t with = {};
	wl_buf_t without = {};
	wl_err_t err = {};

	earlier.count--;
	ASSERT_STREQ(earlier.fields[earlier.count].name, "boot");
	wl_buf_set(&assignment.task, str("t7"));
	assignment.epoch = 9;
	assignment.boot = 100;
	wl_record_pack(&wl_assignment_schema, &assignment, &with);
	wl_record_pack(&earlier, &assignment, &without);

	ASSERT_TRUE(wl_record_unpack(&wl_assignment_schema, wl_buf_str(&without), &back, &err))
		<< err.text;
	EXPECT_EQ(back.epoch, 9u);
	EXPECT_EQ(back.boot, 0u);
	wl_record_free(&wl_assignment_schema, &back);

	ASSERT_TRUE(wl_record_unpack(&earlier, wl_buf_str(&with), &back, &err)) << err.text;
	EXPECT_EQ(back.epoch, 9u);
	EXPECT_EQ(back.boot, 0u);
	wl_record_free(&wl_assignment_schema, &back);

	wl_record_free(&wl_assignment_schema, &assignment);
	wl_buf_free(&with);
	wl_buf_free(&without);
}

TEST(Record, EveryTruncationIsRejected)
{
	wl_msg_t msg;
	wl_buf_t bytes = {};
	wl_err_t err = {};

	wl_msg_init(&msg, WL_MSG_ANNOUNCE);
	wl_buf_set(&msg.u.announce.announce.name, str("w1"));
	wl_strings_add(&msg.u.announce.announce.services, str("tube-sort"));
	wl_msg_pack(&msg, &bytes);
	for (size_t len = 0; len < bytes.len; len++) {
		wl_msg_t back;

		EXPECT_FALSE(wl_msg_unpack({bytes.at, len}, &back, &err)) << len;
	}
	wl_msg_free(&msg);
	wl_buf_free(&bytes);
}

TEST(Record, ArrayLongerThanItsBytesIsRejected)
{
	const char bytes[] = "\x08\xdd\xff\xff\xff\xff";
	wl_msg_t msg;
	wl_err_t err = {};

	EXPECT_FALSE(wl_msg_unpack({bytes, sizeof(bytes) - 1}, &msg, &err));
}

TEST(Record, JsonErrorNamesTheField)
{
	wl_plans_t plans;
	wl_err_t err = {};

	EXPECT_FALSE(wl_record_from_json(&wl_plans_schema,
					 str("{\"plans\":[{\"name\":\"reclaim\",\"weight\":-1}]}"),
					 &plans, &err));
	EXPECT_STREQ(err.text, "plans[0].weight: must be a whole number from 0 on, not -1");
	EXPECT_FALSE(wl_record_from_json(&wl_plans_schema, str("{\"plan\":[]}"), &plans, &err));
	EXPECT_STREQ(err.text, "plan: unknown field");
}

TEST(Record, SparseJsonIsReadAsTheSameRecord)
{
	wl_announce_t announce = {};
	wl_announce_t back = {};
	wl_buf_t whole = {};
	wl_buf_t sparse = {};
	wl_buf_t again = {};
	wl_err_t err = {};

	wl_buf_set(&announce.name, str("w1"));
	wl_buf_set(&announce.address, str("127.0.0.1:1"));
	wl_strings_add(&announce.services, str("tube-sort"));
	announce.slots = 8;
	auto *task =
		static_cast<wl_task_usage_t *>(wl_list_add(&wl_task_usage_schema, &announce.tasks));
	wl_buf_set(&task->id, str("t7"));
	task->attempt = 1;

	wl_record_to_json(&wl_announce_schema, &announce, &whole);
	wl_record_to_json_sparse(&wl_announce_schema, &announce, &sparse);
	EXPECT_LT(sparse.len, whole.len / 2);
	ASSERT_TRUE(wl_record_from_json(&wl_announce_schema, wl_buf_str(&sparse), &back, &err))
		<< err.text;
	wl_record_to_json(&wl_announce_schema, &back, &again);
	EXPECT_STREQ(again.at, whole.at);

	wl_record_free(&wl_announce_schema, &announce);
	wl_record_free(&wl_announce_schema, &back);
	wl_buf_free(&whole);
	wl_buf_free(&sparse);
	wl_buf_free(&again);
}

/* The message stands in a line of the log, which input must not end. */
TEST(Record, ErrorHasNoControlCharacters)
{
	wl_announce_t announce;
	wl_err_t err = {};

	EXPECT_FALSE(wl_record_from_json(&wl_announce_schema,
					 WL_STR("{\"a\\nevent=stop\\u007f\":1}"), &announce, &err));
	EXPECT_STREQ(err.text, "a?event=stop?: unknown field");
	EXPECT_FALSE(
		wl_record_from_json(&wl_announce_schema, WL_STR("{\"a\001\":1}"), &announce, &err));
	EXPECT_EQ(std::string(err.text).find('\001'), std::string::npos) << err.text;
}
